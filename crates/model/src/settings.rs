//! The fleet's tunable settings: one set of defaults, and patches for exceptions.

use crate::unit::{Size, Span};

/// When a write is acknowledged to its caller.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    schemars::JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Acknowledge {
    /// Once a majority of the group holds it under one term. Nothing acknowledged is ever lost.
    Majority,
    /// Once the primary holds it. A promotion may lose it; needs a reasoned exception.
    Primary,
}

/// SQL that asks a backend server about its replication state and changes it.
///
/// `$term`, `$position`, `$timeout_ms` and `$address` are replaced by plain values.
/// Every statement but `point` answers one row with the columns of `status`:
/// `role` (`primary` or `replica`), `fenced` (highest term promised), `history`
/// (`TERM:START,…`), `received`, `applied`, `heard_ms` (time since the primary was heard).
/// `point` answers one column, the `TERM:POSITION` of the log's end.
#[derive(
    Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields, default)]
pub struct Profile {
    /// Asks for the status row.
    pub status: String,
    /// Answers the status row once `received` reaches `$position`, or after `$timeout_ms`.
    pub wait: String,
    /// Asks for the point of the last commit.
    pub point: String,
    /// Promises `$term`: nothing of an older term is accepted from then on.
    pub fence: String,
    /// Makes the server the primary of `$term`, to which it must be fenced.
    pub promote: String,
    /// Makes the server a replica, under `$term`, of the server at `$address`.
    pub follow: String,
}

impl Default for Profile {
    fn default() -> Self {
        Self {
            status: "SELECT * FROM replication_status()".into(),
            wait: "SELECT * FROM replication_wait($position, $timeout_ms)".into(),
            point: "SELECT replication_point()".into(),
            fence: "SELECT * FROM replication_fence($term)".into(),
            promote: "SELECT * FROM replication_promote($term)".into(),
            follow: "SELECT * FROM replication_follow($term, '$address')".into(),
        }
    }
}

macro_rules! settings {
    ($($(#[$meta:meta])* $name:ident: $type:ty = $default:expr,)+) => {
        /// Every setting with its value in force.
        #[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
        #[serde(deny_unknown_fields, default)]
        pub struct Settings {
            $($(#[$meta])* pub $name: $type,)+
        }

        impl Default for Settings {
            fn default() -> Self {
                Self { $($name: $default,)+ }
            }
        }

        /// The settings that one exception changes.
        #[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
        #[serde(deny_unknown_fields, default)]
        pub struct Patch {
            $($(#[$meta])* #[serde(skip_serializing_if = "Option::is_none")] pub $name: Option<$type>,)+
        }

        impl Patch {
            /// Overwrites in `settings` what the patch sets.
            pub fn apply(&self, settings: &mut Settings) {
                $(if let Some(value) = &self.$name {
                    settings.$name = value.clone();
                })+
            }

            /// Whether the patch sets nothing.
            pub fn is_empty(&self) -> bool {
                true $(&& self.$name.is_none())+
            }
        }
    };
}

settings! {
    /// Statements that a backend server works on at once.
    slots: u32 = 3,
    /// Connections that a backend server accepts from the whole fleet.
    connections: u32 = 20,
    /// Most proxies that are ever alive at once, replacements included. Each one's
    /// guaranteed connections follow from it.
    proxies: u32 = 9,
    /// When a write is acknowledged.
    acknowledge: Acknowledge = Acknowledge::Majority,
    /// Longest time a request may take when the caller states no deadline.
    deadline: Span = Span::from_millis(10_000),
    /// Longest time a transaction may stay open.
    transaction_limit: Span = Span::from_millis(60_000),
    /// Longest time a transaction may wait for its caller's next statement.
    transaction_idle: Span = Span::from_millis(10_000),
    /// Time without any progress after which a backend connection is probed.
    progress: Span = Span::from_millis(1_000),
    /// Time without an answer from a primary, by fresh connections, before it is replaced.
    suspect_after: Span = Span::from_millis(400),
    /// Longest time a read waits for a replica to catch up before it goes elsewhere.
    read_wait: Span = Span::from_millis(20),
    /// Requests of one group that a proxy keeps queued.
    queue: u32 = 2_000,
    /// Most bytes of one answer that a proxy keeps in memory.
    answer_buffer: Size = Size::from_bytes(256 << 10),
    /// Validity of a lent connection, after which its borrower must have closed it.
    loan: Span = Span::from_millis(6_000),
    /// How backend servers are asked about replication.
    profile: Profile = Profile::default(),
}
