//! What operators declare: models, services, client accounts, routes and
//! trainers.

pub mod check;
pub mod manifest;
pub mod part;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde_with::{DurationMilliSeconds, serde_as};

pub use check::Fault;
pub use manifest::Manifest;
pub use part::{Part, merge, parse};

crate::record! {
    /// The whole configuration of one deployment.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct Config {
        /// Model services by name.
        pub models: BTreeMap<String, Model>,
        /// Plain services by name.
        pub services: BTreeMap<String, Service>,
        /// Client accounts by name.
        pub accounts: BTreeMap<String, Account>,
        /// Routes to plain services by name.
        pub routes: BTreeMap<String, Route>,
        /// Trainers by name.
        pub trainers: BTreeMap<String, Trainer>,
    }
}

crate::record! {
    /// A priority class.
    #[derive(Default)]
    #[serde(rename_all = "kebab-case")]
    copy pub enum Class {
        /// Samples for trainers.
        Trainer,
        /// Calls that someone waits for.
        #[default]
        Caller,
        /// Work that can wait.
        Bulk,
    }
}

impl Class {
    /// All classes, the most urgent one first.
    pub const ALL: [Self; 3] = [Self::Trainer, Self::Caller, Self::Bulk];

    /// Returns the priority that engines are told: higher is more urgent.
    pub const fn priority(self) -> u32 {
        match self {
            Self::Trainer => 2,
            Self::Caller => 1,
            Self::Bulk => 0,
        }
    }
}

crate::record! {
    /// How many endpoints a service should have in each failure domain.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    copy pub struct Capacity {
        /// Endpoints that are not reclaimed at short notice.
        pub stable: u32,
        /// Endpoints that may be reclaimed at any time.
        pub cheap: u32,
        /// Ready endpoints over all failure domains that must survive the loss
        /// of any failure domain's cheap ones.
        pub floor: u32,
        /// Up to how many endpoints load may ask for, over the declared ones;
        /// 0 if the declared ones are to be kept whatever the load.
        #[serde(rename = "most")]
        pub max: u32,
    }
}

#[serde_as]
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
/// A model served by engines.
pub struct Model {
    /// The endpoints it should have.
    pub capacity: Capacity,
    /// The largest number of tokens that one call may ask for.
    pub max_tokens: u32,
    /// How long a call may take when the caller names no deadline.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
    /// The class of calls to this model.
    pub class: Class,
}

impl Default for Model {
    fn default() -> Self {
        Self {
            capacity: Capacity::default(),
            max_tokens: 1024,
            deadline: Duration::from_secs(60),
            class: Class::Caller,
        }
    }
}

crate::record! {
    /// A plain service.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct Service {
        /// The endpoints it should have.
        pub capacity: Capacity,
    }
}

crate::record! {
    /// What a cut-off VM does with an account's requests.
    #[derive(Default)]
    #[serde(rename_all = "kebab-case")]
    copy pub enum IsolationMode {
        /// Refuse them once the keys may be out of date.
        #[default]
        Refuse,
        /// Go on with the keys known.
        Serve,
    }
}

crate::record! {
    /// A client account.
    #[serde(default, deny_unknown_fields)]
    pub struct Account {
        /// Its share of a contended service, relative to other accounts.
        pub weight: u32,
        /// What a cut-off VM does with its requests.
        pub when_isolated: IsolationMode,
    }
}

impl Default for Account {
    fn default() -> Self {
        Self {
            weight: 1,
            when_isolated: IsolationMode::Refuse,
        }
    }
}

#[serde_as]
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
/// A route from a path to a plain service.
pub struct Route {
    /// The path prefix that the route takes, such as `/entries`.
    pub path: String,
    /// The plain service that answers.
    pub service: String,
    /// Whether requests need no key.
    #[serde(default)]
    pub public: bool,
    /// The methods whose requests may be sent more than once.
    #[serde(default = "idempotent_methods")]
    pub idempotent: Vec<String>,
    /// The class of its requests.
    #[serde(default)]
    pub class: Class,
    /// How long a request may take when the caller names no deadline.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms", default = "route_deadline")]
    pub deadline: Duration,
}

fn idempotent_methods() -> Vec<String> {
    ["GET", "HEAD"].map(String::from).to_vec()
}

fn route_deadline() -> Duration {
    Duration::from_secs(2)
}

crate::record! {
    /// A trainer that draws rollout lots.
    #[serde(deny_unknown_fields)]
    pub struct Trainer {
        /// The client account that is billed, and whose key the trainer uses.
        pub account: String,
        /// The model that it trains.
        pub model: String,
        /// The service that scores samples.
        pub scorer: SocketAddr,
        /// Samples drawn for one prompt.
        #[serde(rename = "group")]
        pub group_size: u32,
        /// Prompts in one step.
        pub groups_per_step: u32,
        /// Prompts in one lot.
        pub groups_per_lot: u32,
        /// The largest number of tokens of one sample.
        pub max_tokens: u32,
        /// How many versions behind the newest weights a sample may be.
        pub max_staleness: u32,
        /// The share of useful tokens, in percent, that may be spent on second
        /// attempts at slow samples; 0 for none.
        #[serde(default = "rerun_percent")]
        pub rerun_percent: u32,
    }
}

fn rerun_percent() -> u32 {
    10
}

impl Trainer {
    /// Returns how many lots make up a step.
    pub fn lots_per_step(&self) -> u32 {
        self.groups_per_step.div_ceil(self.groups_per_lot.max(1))
    }
}
