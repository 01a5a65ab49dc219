//! The leadership record in the platform's store.

use model::position::Revision;
use policy::leadership::Record;
use policy::message::{StoreReply, StoreRequest, Versioned};
use store::client::Client;

/// Carries out what the controller asks of the store.
pub(super) async fn ask(client: &Client, key: &str, ask: StoreRequest) -> StoreReply {
    match ask {
        StoreRequest::Read => read(client, key).await,
        StoreRequest::Swap { expected, record } => swap(client, key, expected, &record).await,
    }
}

async fn read(client: &Client, key: &str) -> StoreReply {
    match client.get(key).await {
        Ok(found) => versioned(found),
        Err(_) => StoreReply::Unknown,
    }
}

async fn swap(client: &Client, key: &str, expected: Revision, record: &Record) -> StoreReply {
    let Ok(value) = serde_json::to_vec(record) else {
        return StoreReply::Unknown;
    };
    match client.swap(key, expected, value).await {
        Ok(store::kv::Outcome::Applied(revision)) => StoreReply::Swapped(revision),
        Ok(store::kv::Outcome::Conflict(found)) => versioned(found),
        Ok(store::kv::Outcome::Unknown) | Err(_) => StoreReply::Unknown,
    }
}

/// A record that cannot be read must not pass for an absent one: the group would fall
/// back to its first instance.
fn versioned(found: Option<store::kv::Record>) -> StoreReply {
    let Some(found) = found else {
        return StoreReply::Found(Versioned::default());
    };
    match serde_json::from_slice(&found.value) {
        Ok(record) => StoreReply::Found(Versioned {
            revision: found.revision,
            record: Some(record),
        }),
        Err(error) => {
            tracing::error!(key = found.key, %error, "leadership record unreadable");
            StoreReply::Unknown
        }
    }
}
