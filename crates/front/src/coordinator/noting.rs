//! Noting in the store that a change of primary is under way, while it begins.

use model::id::GroupId;
use model::position::Revision;

use super::Coordinator;
use super::takeover::REFUSED_PAUSE;
use crate::directory::IntentKind;

/// The note of a change, which is written beside the first looks.
pub(super) struct Noting {
    rx: flume::Receiver<Revision>,
    noted: Option<Revision>,
}

impl Noting {
    /// Writes the note, again if that fails, for as long as the result lives.
    pub(super) fn begin(this: &Coordinator, group: &GroupId, duty: Revision) -> Self {
        let (tx, rx) = flume::bounded(1);
        let (this, group) = (this.clone(), group.clone());
        compio::runtime::spawn(async move {
            while !tx.is_disconnected() && this.holds(duty) {
                match write(&this, &group, duty).await {
                    Some(noted) => {
                        // The change may have ended.
                        let _ = tx.send(noted);
                        return;
                    }
                    None => compio::time::sleep(REFUSED_PAUSE).await,
                }
            }
        })
        .detach();
        Self { rx, noted: None }
    }

    /// Whether a look that begins now sees every instance of which a connection counts: they
    /// were announced before the note.
    pub(super) fn is_known(&mut self, this: &Coordinator) -> bool {
        self.noted = self.noted.or_else(|| self.rx.try_recv().ok());
        let known = this.directory.with(|s| s.revision());
        self.noted.is_some_and(|noted| noted <= known)
    }
}

async fn write(this: &Coordinator, group: &GroupId, duty: Revision) -> Option<Revision> {
    let noted = this
        .directory
        .record_intent(&this.store, duty, IntentKind::Change, group, &[]);
    match noted.await {
        Ok(noted) => Some(noted),
        Err(e) => {
            tracing::warn!(%group, cause = %e, "a change of primary was not noted");
            None
        }
    }
}
