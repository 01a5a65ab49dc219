//! Sends this proxy's reports to the coordinator directly, not through the store.
//!
//! A partition may separate a primary together with the store from most proxies, or the store
//! may reject the requests of some proxies. Without direct reports, their suspicions cannot be
//! written, and the primary is replaced only after their leases have expired: callers could not
//! write for five seconds more.

use std::rc::Rc;

use model::id::ProxyId;
use model::unit::Span;

use crate::clock;
use crate::cx::Cx;
use crate::directory::Directory;
use crate::health::Reports;

/// Interval between two checks of the reports. A suspicion takes 0.6 s to arise.
const CHECK_INTERVAL: Span = Span::from_millis(100);

/// Number of checks after which unchanged reports are sent again; the coordinator drops them
/// after a second.
const REPEAT_AFTER: u32 = 3;

/// Reports for as long as the process runs.
pub(super) async fn run(me: ProxyId, cx: Rc<Cx>, directory: Directory) {
    let mut delivered_reports = Reports::default();
    let mut checks = 0;
    loop {
        clock::sleep_until(clock::now() + CHECK_INTERVAL).await;
        let own = cx.reports.own();
        checks += 1;
        let due = own != delivered_reports || (!own.is_empty() && checks >= REPEAT_AFTER);
        if !due {
            continue;
        }
        let delivered = send(&me, &cx, &directory, &own).await;
        cx.reports.set_delivered(delivered, clock::now());
        if delivered {
            delivered_reports = own;
            checks = 0;
        }
    }
}

/// Sends the reports to the coordinator, if there is one; returns whether they were delivered.
async fn send(me: &ProxyId, cx: &Cx, directory: &Directory, own: &Reports) -> bool {
    let Some(coordinator) = directory.with(|s| s.coordinator_name()) else {
        return false;
    };
    if coordinator == *me {
        cx.reports.receive(me.clone(), own.clone(), clock::now());
        return true;
    }
    let Some(address) = directory.with(|s| s.relay(&coordinator)) else {
        return false;
    };
    cx.relay.report(&coordinator, address, me, own).await
}
