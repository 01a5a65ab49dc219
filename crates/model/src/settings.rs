//! Settings of the fleet: one set of defaults, and patches for exceptions.

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
    /// Once a majority of the group holds it under one term. No acknowledged write is lost.
    Majority,
    /// Once the primary holds it. A promotion may discard it, so this needs an exception with
    /// a reason.
    Primary,
}

/// SQL statements that query and change the replication state of a backend server.
///
/// `$term`, `$position`, `$timeout_ms` and `$address` are replaced by plain values.
/// Every statement but `point` returns one row with the columns of `status`:
/// `role` (`primary` or `replica`), `fenced` (highest term promised), `history`
/// (`TERM:START,…`), `received`, `applied`, `heard_ms` (time since the last contact with the
/// primary). `point` returns one column, the `TERM:POSITION` of the log's end.
#[derive(
    Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields, default)]
pub struct Profile {
    /// Returns the status row.
    pub status: String,
    /// Returns the status row once `received` reaches `$position`, or after `$timeout_ms`.
    pub wait: String,
    /// Returns the point of the last commit.
    pub point: String,
    /// Promises `$term`: from then on the server accepts nothing of an older term.
    pub fence: String,
    /// Makes the server the primary of `$term`, which it must have promised before.
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
        /// All settings with their effective values.
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

        /// Settings that one exception changes.
        #[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
        #[serde(deny_unknown_fields, default)]
        pub struct Patch {
            $($(#[$meta])* #[serde(skip_serializing_if = "Option::is_none")] pub $name: Option<$type>,)+
        }

        impl Patch {
            /// Overwrites the settings that the patch sets.
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
    /// Statements that a backend server runs concurrently.
    slots: u32 = 3,
    /// Connections that a backend server accepts from the whole fleet.
    connections: u32 = 20,
    /// Maximum number of proxies that run at the same time, replacements included. The
    /// guaranteed connections of each proxy are derived from it.
    proxies: u32 = 9,
    /// When a write is acknowledged.
    acknowledge: Acknowledge = Acknowledge::Majority,
    /// Time limit of a request for which the caller sets no deadline.
    deadline: Span = Span::from_millis(10_000),
    /// Maximum duration of a transaction.
    transaction_limit: Span = Span::from_millis(60_000),
    /// Maximum time for which a transaction waits for its caller's next statement.
    transaction_idle: Span = Span::from_millis(10_000),
    /// Time without any progress after which a backend connection is probed.
    progress: Span = Span::from_millis(1_000),
    /// Time without a response from a primary, also on new connections, after which it is
    /// replaced.
    suspect_after: Span = Span::from_millis(400),
    /// Maximum time for which a read waits for a replica to catch up before it is sent to the
    /// primary or another region.
    read_wait: Span = Span::from_millis(20),
    /// Maximum number of requests to one group that a proxy queues.
    queue: u32 = 2_000,
    /// Maximum size of one response that a proxy buffers in memory.
    answer_buffer: Size = Size::from_bytes(256 << 10),
    /// Duration of a connection loan, after which the borrower must have closed the
    /// connection.
    loan: Span = Span::from_millis(6_000),
    /// SQL statements for the replication of backend servers.
    profile: Profile = Profile::default(),
}
