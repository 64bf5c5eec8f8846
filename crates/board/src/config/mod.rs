//! The configuration that operators declare: models, services, client accounts,
//! routes and trainers.

pub mod check;
pub mod manifest;
pub mod part;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde_with::{DurationMilliSeconds, serde_as};

pub use check::Fault;
pub use manifest::Manifest;
pub use part::{Part, merge, parse};

crate::record! {
    /// The complete configuration of one deployment.
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
        /// Generation of samples for trainers.
        Trainer,
        /// Interactive calls.
        #[default]
        Caller,
        /// Work without a latency requirement.
        Bulk,
    }
}

impl Class {
    /// All classes, the most urgent one first.
    pub const ALL: [Self; 3] = [Self::Trainer, Self::Caller, Self::Bulk];

    /// Returns the priority that is sent to engines. A higher number is more
    /// urgent.
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
        /// Endpoints that may be reclaimed at short notice.
        pub cheap: u32,
        /// The minimum number of ready endpoints, over all failure domains,
        /// that must remain after any one failure domain loses its cheap
        /// endpoints.
        pub floor: u32,
        /// The largest number of endpoints that the load may scale the service
        /// to. If it is 0, the number does not depend on the load.
        #[serde(rename = "most")]
        pub max: u32,
    }
}

#[serde_as]
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
/// A model served by engines.
pub struct Model {
    /// The number of endpoints in each failure domain.
    pub capacity: Capacity,
    /// The largest number of tokens that one call may request.
    pub max_tokens: u32,
    /// The time limit of a call whose caller sets no deadline.
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
        /// The number of endpoints in each failure domain.
        pub capacity: Capacity,
    }
}

crate::record! {
    /// How a VM that is cut off from the deployment handles an account's
    /// requests.
    #[derive(Default)]
    #[serde(rename_all = "kebab-case")]
    copy pub enum IsolationMode {
        /// Reject them once the VM's keys may be out of date.
        #[default]
        Refuse,
        /// Serve them with the keys that the VM knows.
        Serve,
    }
}

crate::record! {
    /// A client account.
    #[serde(default, deny_unknown_fields)]
    pub struct Account {
        /// Its share of a contended service, relative to other accounts.
        pub weight: u32,
        /// How a VM that is cut off from the deployment handles its requests.
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
    /// The path prefix that the route matches, such as `/entries`.
    pub path: String,
    /// The plain service that serves the requests.
    pub service: String,
    /// Whether requests need no key.
    #[serde(default)]
    pub public: bool,
    /// The methods whose requests are idempotent, so that they may be repeated.
    #[serde(default = "idempotent_methods")]
    pub idempotent: Vec<String>,
    /// The class of its requests.
    #[serde(default)]
    pub class: Class,
    /// The time limit of a request whose caller sets no deadline.
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
    /// A trainer that reads lots of samples.
    #[serde(deny_unknown_fields)]
    pub struct Trainer {
        /// The client account that is billed, and whose key the trainer uses.
        pub account: String,
        /// The model that it trains.
        pub model: String,
        /// The service that scores samples.
        pub scorer: SocketAddr,
        /// The number of samples generated for each prompt.
        #[serde(rename = "group")]
        pub group_size: u32,
        /// The number of groups, and so of prompts, in one step.
        pub groups_per_step: u32,
        /// The number of groups, and so of prompts, in one lot.
        pub groups_per_lot: u32,
        /// The largest number of tokens of one sample.
        pub max_tokens: u32,
        /// How many versions behind the newest weights a sample may be.
        pub max_staleness: u32,
        /// The budget for second attempts at slow samples, in percent of the
        /// useful tokens; 0 disables second attempts.
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
