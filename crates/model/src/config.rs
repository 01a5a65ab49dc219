//! The fleet configuration: groups, callers, defaults, and exceptions with their reasons.

use std::fmt;

use indexmap::IndexMap;

use crate::id::{CallerId, Class, DataCentre, GroupId, InstanceId, Region};
use crate::location::Location;
use crate::settings::{Patch, Settings};

/// Minimum length of an exception's reason, in characters.
pub const MIN_REASON: usize = 10;

/// Configuration of the fleet, as the operators declare it in the platform's store.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Data centres with their regions.
    #[schemars(with = "std::collections::BTreeMap<String, String>")]
    pub data_centres: IndexMap<DataCentre, Region>,
    /// Database groups.
    #[schemars(with = "std::collections::BTreeMap<String, Group>")]
    pub groups: IndexMap<GroupId, Group>,
    /// Callers and the groups that they may access.
    #[schemars(with = "std::collections::BTreeMap<String, Caller>")]
    pub callers: IndexMap<CallerId, Caller>,
    /// Request classes with their weights in the fair queue.
    #[serde(default)]
    #[schemars(with = "std::collections::BTreeMap<String, ClassSpec>")]
    pub classes: IndexMap<Class, ClassSpec>,
    /// Default settings of all groups.
    #[serde(default)]
    pub defaults: Settings,
    /// Deviations from the defaults, each with its reason; later ones take precedence.
    #[serde(default)]
    pub exceptions: Vec<Exception>,
}

/// One database group.
#[derive(
    Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Its backend servers; the first one is the primary of term 1.
    #[schemars(with = "std::collections::BTreeMap<String, Instance>")]
    pub instances: IndexMap<InstanceId, Instance>,
    /// Database name on the backend servers.
    #[serde(default = "default_name")]
    pub database: String,
    /// User name on the backend servers.
    #[serde(default = "default_name")]
    pub user: String,
    /// Password on the backend servers, if they require one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub password: Option<String>,
}

fn default_name() -> String {
    "pomelo".into()
}

/// One backend server.
#[derive(
    Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Address as `IP:PORT`.
    #[schemars(with = "String")]
    pub address: std::net::SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// Whether it is being decommissioned and receives no new requests.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}

/// One caller.
#[derive(
    Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// SCRAM-SHA-256 verifier in the format of PostgreSQL; without one, no password is required.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub verifier: Option<String>,
    /// Groups that the caller may access; at login, the database name selects the group.
    pub groups: Vec<GroupId>,
    /// Weight of this caller relative to the others.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Class of requests without a class mark.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<Class>,
}

fn default_weight() -> u32 {
    1
}

/// One request class.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Weight of this class relative to the others of the same caller.
    pub weight: u32,
}

/// A deviation from the default settings.
#[derive(
    Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct Exception {
    /// The group it applies to.
    pub group: GroupId,
    /// The settings it changes.
    pub set: Patch,
    /// Why the group needs it.
    pub reason: String,
}

/// An error in a configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// A referenced data centre is not declared.
    #[error("data centre {0} is not declared")]
    UnknownDataCentre(DataCentre),
    /// A referenced group is not declared.
    #[error("group {0} is not declared")]
    UnknownGroup(GroupId),
    /// A referenced class is not declared.
    #[error("class {0} is not declared")]
    UnknownClass(Class),
    /// A group has too few instances, or an even number of them, to keep a majority after a
    /// failure.
    #[error("a group needs an odd number of instances, at least 3, not {0}")]
    GroupSize(usize),
    /// Two instances have the same address.
    #[error("address {0} is used by two instances")]
    SharedAddress(std::net::SocketAddr),
    /// A number or duration is zero.
    #[error("must be larger than zero")]
    Zero,
    /// A backend server has fewer connections than slots.
    #[error("{connections} connections cannot fill {slots} slots")]
    TooFewConnections {
        /// Connections of a backend server.
        connections: u32,
        /// Slots of a backend server.
        slots: u32,
    },
    /// An exception has no reason, or one that is too short to be meaningful.
    #[error("an exception needs a reason of at least {MIN_REASON} characters")]
    MissingReason,
    /// An exception changes no setting.
    #[error("the exception sets nothing")]
    EmptyException,
    /// The default is to acknowledge a write before a majority holds it.
    #[error("acknowledge \"primary\" is not accepted as a default")]
    WeakDefault,
}

impl Problem {
    /// How an operator can fix it.
    pub fn hint(&self) -> &'static str {
        match self {
            Self::UnknownDataCentre(_) => "declare it under data_centres, or correct the name",
            Self::UnknownGroup(_) => "declare it under groups, or correct the name",
            Self::UnknownClass(_) => "declare it under classes, or correct the name",
            Self::GroupSize(_) => "list 3 or 5 instances",
            Self::SharedAddress(_) => "give each instance its own address",
            Self::Zero => "write 1 or more",
            Self::TooFewConnections { .. } => "raise connections or lower slots",
            Self::MissingReason => "say why this group differs from the defaults",
            Self::EmptyException => "set at least one setting, or remove the exception",
            Self::WeakDefault => "use an exception for the groups that may lose writes",
        }
    }
}

/// A problem with its location in the document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Keys and indexes from the root to the value.
    pub path: Vec<String>,
    /// The problem there.
    pub problem: Problem,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {} ({})",
            self.path.join("."),
            self.problem,
            self.problem.hint()
        )
    }
}

impl Fleet {
    /// Effective settings of a group: the defaults, overridden by its exceptions in order.
    pub fn settings(&self, group: &GroupId) -> Settings {
        let mut settings = self.defaults.clone();
        for exception in self.exceptions.iter().filter(|e| e.group == *group) {
            exception.set.apply(&mut settings);
        }
        settings
    }

    /// The location of a data centre, if it is declared.
    pub fn location(&self, data_centre: &DataCentre) -> Option<Location> {
        let region = self.data_centres.get(data_centre)?.clone();
        Some(Location {
            region,
            data_centre: data_centre.clone(),
        })
    }

    /// All problems; if there are none, the configuration may be applied.
    pub fn check(&self) -> Vec<Finding> {
        let mut findings = Findings::default();
        self.check_groups(&mut findings);
        self.check_callers(&mut findings);
        self.check_exceptions(&mut findings);
        if self.defaults.acknowledge == crate::settings::Acknowledge::Primary {
            findings.add(&["defaults", "acknowledge"], Problem::WeakDefault);
        }
        check_settings(&self.defaults, &["defaults"], &mut findings);
        for (name, class) in &self.classes {
            if class.weight == 0 {
                findings.add(&["classes", name.as_str(), "weight"], Problem::Zero);
            }
        }
        findings.0
    }

    fn check_groups(&self, findings: &mut Findings) {
        let mut addresses = indexmap::IndexSet::new();
        for (group, spec) in &self.groups {
            let path = ["groups", group.as_str(), "instances"];
            let size = spec.instances.len();
            if size < 3 || size % 2 == 0 {
                findings.add(&path, Problem::GroupSize(size));
            }
            for (name, instance) in &spec.instances {
                let path = [path[0], path[1], path[2], name.as_str()];
                if !addresses.insert(instance.address) {
                    findings.add(&path, Problem::SharedAddress(instance.address));
                }
                if !self.data_centres.contains_key(&instance.data_centre) {
                    let problem = Problem::UnknownDataCentre(instance.data_centre.clone());
                    findings.add(&path, problem);
                }
            }
        }
    }

    fn check_callers(&self, findings: &mut Findings) {
        for (name, caller) in &self.callers {
            let path = ["callers", name.as_str()];
            for group in caller
                .groups
                .iter()
                .filter(|g| !self.groups.contains_key(*g))
            {
                let problem = Problem::UnknownGroup(group.clone());
                findings.add(&[path[0], path[1], "groups"], problem);
            }
            if let Some(class) = caller
                .class
                .as_ref()
                .filter(|c| !self.classes.contains_key(*c))
            {
                let problem = Problem::UnknownClass(class.clone());
                findings.add(&[path[0], path[1], "class"], problem);
            }
            if caller.weight == 0 {
                findings.add(&[path[0], path[1], "weight"], Problem::Zero);
            }
        }
    }

    fn check_exceptions(&self, findings: &mut Findings) {
        for (index, exception) in self.exceptions.iter().enumerate() {
            let index = index.to_string();
            let path = ["exceptions", index.as_str()];
            if !self.groups.contains_key(&exception.group) {
                let problem = Problem::UnknownGroup(exception.group.clone());
                findings.add(&[path[0], path[1], "group"], problem);
            }
            if exception.reason.trim().chars().count() < MIN_REASON {
                findings.add(&[path[0], path[1], "reason"], Problem::MissingReason);
            }
            if exception.set.is_empty() {
                findings.add(&[path[0], path[1], "set"], Problem::EmptyException);
            }
            let mut settings = self.defaults.clone();
            exception.set.apply(&mut settings);
            check_settings(&settings, &[path[0], path[1], "set"], findings);
        }
    }
}

fn check_settings(settings: &Settings, path: &[&str], findings: &mut Findings) {
    let mut add = |key, problem| findings.add(&[path, &[key]].concat(), problem);
    for (key, value) in [
        ("slots", settings.slots),
        ("queue", settings.queue),
        ("proxies", settings.proxies),
    ] {
        if value == 0 {
            add(key, Problem::Zero);
        }
    }
    let spans = [
        ("deadline", settings.deadline),
        ("suspect_after", settings.suspect_after),
        ("progress", settings.progress),
        ("loan", settings.loan),
    ];
    for (key, _) in spans.iter().filter(|(_, span)| span.as_micros() == 0) {
        add(key, Problem::Zero);
    }
    if settings.connections < settings.slots {
        let problem = Problem::TooFewConnections {
            connections: settings.connections,
            slots: settings.slots,
        };
        add("connections", problem);
    }
}

#[derive(Default)]
struct Findings(Vec<Finding>);

impl Findings {
    fn add(&mut self, path: &[&str], problem: Problem) {
        let path = path.iter().map(|&part| part.to_owned()).collect();
        self.0.push(Finding { path, problem });
    }
}

/// Parses JSON with comments into a typed document; the error names line and column.
pub fn parse<T: serde::de::DeserializeOwned>(
    text: &str,
) -> Result<T, jsonc_parser::errors::ParseError> {
    jsonc_parser::parse_to_serde_value(text, &jsonc_parser::ParseOptions::default())
}
