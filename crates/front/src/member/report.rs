//! Telling the coordinator what is wrong, straight and not through the store.
//!
//! Load: a primary is cut off together with the store from most proxies, or the store turns
//! some of them away. Harm without it: their doubts cannot be written, and the primary is
//! replaced only when their leases have lapsed; callers saw no writes for five seconds more.

use std::rc::Rc;

use model::id::ProxyId;
use model::unit::Span;

use crate::clock;
use crate::concern::Concerns;
use crate::cx::Cx;
use crate::directory::Directory;

/// Pause between two looks at the concerns. A doubt takes 0.6 s to arise.
const LOOK: Span = Span::from_millis(100);

/// Looks after which unchanged concerns are told again; the coordinator forgets them after
/// a second.
const AGAIN: u32 = 3;

/// Reports for as long as the process runs.
pub(super) async fn run(me: ProxyId, cx: Rc<Cx>, directory: Directory) {
    let mut told = Concerns::default();
    let mut looks = 0;
    loop {
        clock::sleep_until(clock::now() + LOOK).await;
        let own = cx.reports.own();
        looks += 1;
        let due = own != told || (!own.is_empty() && looks >= AGAIN);
        if !due {
            continue;
        }
        let heard = tell(&me, &cx, &directory, &own).await;
        cx.reports.set_heard(heard, clock::now());
        if heard {
            told = own;
            looks = 0;
        }
    }
}

/// Tells the coordinator, if there is one; says whether it heard.
async fn tell(me: &ProxyId, cx: &Cx, directory: &Directory, own: &Concerns) -> bool {
    let Some(coordinator) = directory.with(|s| s.coordinator_name()) else {
        return false;
    };
    if coordinator == *me {
        cx.reports.told(me.clone(), own.clone(), clock::now());
        return true;
    }
    let Some(address) = directory.with(|s| s.relay(&coordinator)) else {
        return false;
    };
    cx.relay.report(&coordinator, address, me, own).await
}
