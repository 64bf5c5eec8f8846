//! Checks of a merged configuration.

use std::{fmt, ops::Range};

use super::Config;

/// An error in an operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// The name of the file.
    pub file: String,
    /// The byte range of the error in the file, if known.
    pub span: Option<Range<usize>>,
    /// A description of the error.
    pub problem: String,
    /// How to correct it.
    pub help: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} ({})", self.file, self.problem, self.help)
    }
}

/// Maps the table and name of a declaration to its file and the byte range of
/// its header.
type Locate<'a> = dyn Fn(&str, &str) -> (String, Option<Range<usize>>) + 'a;

const NAME_BYTES_MAX: usize = 48;

/// Checks the names, references and value ranges of a configuration.
pub(crate) fn check_config(
    config: &Config,
    locate: impl Fn(&str, &str) -> (String, Option<Range<usize>>),
) -> Vec<Fault> {
    let mut check = Check {
        locate: &locate,
        faults: Vec::new(),
    };
    check.check_names(config);
    check.check_values(config);
    check.check_routes(config);
    check.check_trainers(config);
    check.faults
}

struct Check<'a> {
    locate: &'a Locate<'a>,
    faults: Vec<Fault>,
}

impl Check<'_> {
    fn report(&mut self, kind: &str, name: &str, problem: impl Into<String>, help: &str) {
        let (file, span) = (self.locate)(kind, name);
        self.faults.push(Fault {
            file,
            span,
            problem: format!("{kind}.{name}: {}", problem.into()),
            help: help.to_string(),
        });
    }

    fn check_names(&mut self, config: &Config) {
        let kinds: [(&str, Vec<&String>); 5] = [
            ("models", config.models.keys().collect()),
            ("services", config.services.keys().collect()),
            ("accounts", config.accounts.keys().collect()),
            ("routes", config.routes.keys().collect()),
            ("trainers", config.trainers.keys().collect()),
        ];
        for (kind, names) in kinds {
            for name in names {
                if !is_valid_name(name) {
                    let help = "use 1 to 48 letters, digits, '-' and '_'";
                    self.report(kind, name, "invalid name", help);
                }
            }
        }
    }

    fn check_values(&mut self, config: &Config) {
        for name in config.services.keys() {
            if config.models.contains_key(name) {
                self.report(
                    "services",
                    name,
                    "a model has this name",
                    "rename one of them",
                );
            }
        }
        for (name, account) in &config.accounts {
            if account.weight == 0 {
                self.report("accounts", name, "weight is 0", "use 1 or more");
            }
        }
        let services = config.services.iter();
        let services = services.map(|(name, service)| ("services", name, service.capacity));
        let models = config.models.iter();
        let models = models.map(|(name, model)| ("models", name, model.capacity));
        for (kind, name, capacity) in services.chain(models) {
            if capacity.max > 0 && capacity.max < capacity.stable + capacity.cheap {
                let problem = "most is less than the sum of stable and cheap";
                self.report(kind, name, problem, "raise most, or omit it");
            }
        }
        for (name, model) in &config.models {
            if model.max_tokens == 0 || model.deadline.is_zero() {
                self.report(
                    "models",
                    name,
                    "max_tokens or deadline_ms is 0",
                    "use 1 or more",
                );
            }
        }
    }

    fn check_routes(&mut self, config: &Config) {
        for (name, route) in &config.routes {
            if !config.services.contains_key(&route.service) {
                let problem = format!("no service {:?}", route.service);
                self.report("routes", name, problem, "declare it under [services]");
            }
            if !route.path.starts_with('/') || route.path.starts_with("/v1/") {
                let help = "use a path that starts with '/' but not with '/v1/'";
                self.report("routes", name, "invalid path", help);
            }
            let has_same_path = config
                .routes
                .iter()
                .any(|(other, r)| other < name && r.path == route.path);
            if has_same_path {
                self.report(
                    "routes",
                    name,
                    "another route has this path",
                    "remove one of them",
                );
            }
            if route.deadline.is_zero() {
                self.report("routes", name, "deadline_ms is 0", "use 1 or more");
            }
        }
    }

    fn check_trainers(&mut self, config: &Config) {
        for (name, trainer) in &config.trainers {
            if !config.models.contains_key(&trainer.model) {
                let problem = format!("no model {:?}", trainer.model);
                self.report("trainers", name, problem, "declare it under [models]");
            }
            if !config.accounts.contains_key(&trainer.account) {
                let problem = format!("no account {:?}", trainer.account);
                self.report("trainers", name, problem, "declare it under [accounts]");
            }
            let counts = [
                trainer.group_size,
                trainer.groups_per_step,
                trainer.groups_per_lot,
                trainer.max_tokens,
            ];
            if counts.contains(&0) {
                self.report(
                    "trainers",
                    name,
                    "group, groups_per_step, groups_per_lot or max_tokens is 0",
                    "use 1 or more",
                );
            }
        }
    }
}

fn is_valid_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    !name.is_empty() && name.len() <= NAME_BYTES_MAX && name.chars().all(allowed)
}
