//! Parsing of one operator's file, and merging of files into a configuration.

use std::ops::Range;

use super::{Config, Fault, check};

crate::record! {
    /// One file of an operator, unparsed.
    pub struct Part {
        /// The file's path, relative to the root of the operators' tree.
        pub file: String,
        /// The file's text.
        pub text: String,
    }
}

/// Parses one file.
///
/// # Errors
///
/// Returns a [`Fault`] with the file and the byte range of the error.
///
/// # Examples
///
/// ```
/// use tarragonseam_board::config::{Part, parse};
///
/// let part = Part { file: "a.toml".into(), text: "[accounts.a]\nweight = 2\n".into() };
/// assert_eq!(parse(&part).unwrap().accounts["a"].weight, 2);
/// ```
pub fn parse(part: &Part) -> Result<Config, Fault> {
    toml::from_str(&part.text).map_err(|e| Fault {
        file: part.file.clone(),
        span: e.span(),
        problem: e.message().to_string(),
        help: "see docs/OPERATIONS.md for the tables and keys of a file".to_string(),
    })
}

/// Merges files into one configuration and checks it.
///
/// # Errors
///
/// Returns every [`Fault`] found, in the order of the files.
pub fn merge(parts: &[Part]) -> Result<Config, Vec<Fault>> {
    let mut merged = Config::default();
    let mut faults = Vec::new();
    let mut declarations = Declarations::default();
    for part in parts {
        match parse(part) {
            Ok(config) => merge_part(&mut merged, config, part, &mut declarations, &mut faults),
            Err(fault) => faults.push(fault),
        }
    }
    if faults.is_empty() {
        faults = check::check_config(&merged, |kind, name| declarations.locate(kind, name));
    }
    if faults.is_empty() {
        Ok(merged)
    } else {
        Err(faults)
    }
}

/// The table, name and file of each declaration.
#[derive(Default)]
struct Declarations(Vec<(&'static str, String, Part)>);

impl Declarations {
    fn locate(&self, kind: &str, name: &str) -> (String, Option<Range<usize>>) {
        let found = self.0.iter().find(|(k, n, _)| *k == kind && n == name);
        match found {
            Some((_, _, part)) => (part.file.clone(), span_of(&part.text, kind, name)),
            None => (String::new(), None),
        }
    }
}

/// Returns the byte range of the header of table `kind.name` in `text`.
fn span_of(text: &str, kind: &str, name: &str) -> Option<Range<usize>> {
    let header = format!("[{kind}.{name}]");
    let start = text.find(&header)?;
    Some(start..start + header.len())
}

fn merge_part(
    merged: &mut Config,
    config: Config,
    part: &Part,
    declarations: &mut Declarations,
    faults: &mut Vec<Fault>,
) {
    let Config {
        models,
        services,
        accounts,
        routes,
        trainers,
    } = config;
    let mut declare = |kind: &'static str, name: &String| {
        let (other, _) = declarations.locate(kind, name);
        if other.is_empty() {
            declarations.0.push((kind, name.clone(), part.clone()));
            return;
        }
        faults.push(Fault {
            file: part.file.clone(),
            span: span_of(&part.text, kind, name),
            problem: format!("{kind}.{name} is also declared in {other}"),
            help: "remove one of the two declarations".to_string(),
        });
    };
    models.keys().for_each(|name| declare("models", name));
    services.keys().for_each(|name| declare("services", name));
    accounts.keys().for_each(|name| declare("accounts", name));
    routes.keys().for_each(|name| declare("routes", name));
    trainers.keys().for_each(|name| declare("trainers", name));
    merged.models.extend(models);
    merged.services.extend(services);
    merged.accounts.extend(accounts);
    merged.routes.extend(routes);
    merged.trainers.extend(trainers);
}
