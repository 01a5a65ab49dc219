//! The task that owns one group's routes.

use model::position::{Point, Term};
use policy::route::{Refusal, Target};
use policy::status::Role;

use super::{Request, Setup};

const RETRY: model::unit::Span = model::unit::Span::from_millis(100);

/// Serves requests until every handle is gone.
pub(super) async fn run(mut setup: Setup, rx: flume::Receiver<Request>) {
    while let Ok(req) = rx.recv_async().await {
        match req {
            Request::Write {
                tx,
                point,
                deadline,
            } => {
                tracing::trace!(?point, ?deadline, "write");
                let _ = tx.send(first(&setup));
            }
            Request::Read { tx, need, deadline } => {
                tracing::trace!(?need, ?deadline, "read");
                let _ = tx.send(first(&setup));
            }
            Request::Confirm {
                tx,
                point,
                deadline,
            } => {
                tracing::trace!(%point, ?deadline, "confirm");
                let _ = tx.send(Ok(()));
            }
            Request::Finished(instance, took) => {
                tracing::trace!(%instance, %took, "request finished");
            }
            Request::Failed(instance, failure) => {
                tracing::debug!(%instance, %failure, "request failed");
            }
            Request::Configure(fleet) => setup.fleet = fleet,
        }
    }
}

fn first(setup: &Setup) -> Result<Target, Refusal> {
    let none = Refusal::NoPrimary { retry: RETRY };
    let spec = setup.fleet.groups.get(&setup.group).ok_or(none.clone())?;
    let (name, instance) = spec.instances.first().ok_or(none.clone())?;
    Ok(Target {
        instance: name.clone(),
        address: instance.address,
        place: setup.fleet.place(&instance.data_centre).ok_or(none)?,
        role: Role::Primary,
        term: Term(1),
        via: None,
        point: Point::default(),
    })
}
