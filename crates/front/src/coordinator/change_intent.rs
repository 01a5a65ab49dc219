//! Records in the store the intent to change a primary, while the change begins.

use model::id::GroupId;
use model::position::Revision;

use super::Coordinator;
use super::takeover::RETRY_DELAY;
use crate::directory::IntentKind;

/// The intent of a change, which is written concurrently with the first surveys.
pub(super) struct ChangeIntent {
    rx: flume::Receiver<Revision>,
    revision: Option<Revision>,
}

impl ChangeIntent {
    /// Starts to write the intent, and retries for as long as the returned value exists.
    pub(super) fn record(this: &Coordinator, group: &GroupId, epoch: Revision) -> Self {
        let (tx, rx) = flume::bounded(1);
        let (this, group) = (this.clone(), group.clone());
        compio::runtime::spawn(async move {
            while !tx.is_disconnected() && this.holds_role(epoch) {
                match write(&this, &group, epoch).await {
                    Some(revision) => {
                        // The receiver is gone if the change has ended.
                        let _ = tx.send(revision);
                        return;
                    }
                    None => compio::time::sleep(RETRY_DELAY).await,
                }
            }
        })
        .detach();
        Self { rx, revision: None }
    }

    /// Whether this proxy's mirror of the store includes the intent. A survey that begins then
    /// covers every instance with an eligible connection, as all were announced before it.
    pub(super) fn is_mirrored(&mut self, this: &Coordinator) -> bool {
        self.revision = self.revision.or_else(|| self.rx.try_recv().ok());
        let known = this.directory.with(|s| s.revision());
        self.revision.is_some_and(|revision| revision <= known)
    }
}

async fn write(this: &Coordinator, group: &GroupId, epoch: Revision) -> Option<Revision> {
    let revision = this
        .directory
        .record_intent(&this.store, epoch, IntentKind::Change, group, &[]);
    match revision.await {
        Ok(revision) => Some(revision),
        Err(e) => {
            tracing::warn!(%group, cause = %e, "the intent to change the primary was not recorded");
            None
        }
    }
}
