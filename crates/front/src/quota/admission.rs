//! Admission of one operation: its permit before, during and after the wait for a connection.

use futures_util::future::{self, Either};
use model::id::CustomerId;
use model::unit::Span;
use policy::quota::{QuotaRejection, Reservation};

use super::{Quotas, Turn};
use crate::clock;

/// Longest wait of an operation that holds a connection for a new permit: a round trip to a
/// granter nearby.
const REPLACE_TIMEOUT: Span = Span::from_millis(20);

/// Admission of one operation.
pub struct Admission(Option<Limited>);

/// Admission by a permit, for a customer with a limit.
struct Limited {
    quotas: Quotas,
    customer: CustomerId,
    reservation: Reservation,
}

impl Admission {
    /// Of an operation without a limit.
    pub(super) fn unlimited() -> Self {
        Self(None)
    }

    /// Of an operation of a customer with a limit.
    pub(super) fn limited(quotas: Quotas, customer: CustomerId) -> Self {
        Self(Some(Limited {
            quotas,
            customer,
            reservation: Reservation::default(),
        }))
    }

    /// Waits for a permit, before a connection is requested.
    pub async fn reserve(&mut self) -> Result<(), QuotaRejection> {
        match &mut self.0 {
            Some(limited) => limited.reserve().await,
            None => Ok(()),
        }
    }

    /// Takes a permit if one is at hand; returns whether the operation has one.
    pub fn try_reserve(&mut self) -> bool {
        self.0.as_mut().is_none_or(Limited::try_reserve)
    }

    /// Waits for a connection. If that takes long, others may use the permit meanwhile.
    pub async fn hold<T>(&mut self, checkout: impl Future<Output = T>) -> T {
        let release_at = self.0.as_ref().and_then(|l| l.reservation.release_at());
        let Some(release_at) = release_at else {
            return checkout.await;
        };
        let release = clock::sleep_until(release_at);
        futures_util::pin_mut!(checkout, release);
        match future::select(checkout, release).await {
            Either::Left((result, _)) => result,
            Either::Right(((), checkout)) => {
                if let Some(limited) = &mut self.0 {
                    limited.release();
                }
                checkout.await
            }
        }
    }

    /// Whether the operation, which has its connection, may be sent; that must happen at once.
    /// A permit that it no longer has is replaced, with a short wait.
    pub async fn send(&mut self) -> bool {
        match &mut self.0 {
            Some(limited) => limited.send().await,
            None => true,
        }
    }

    /// Records that the operation was sent and certainly did not run.
    pub fn did_not_run(&mut self) {
        if let Some(limited) = &mut self.0 {
            limited.reservation.did_not_run(clock::now());
        }
    }
}

impl Limited {
    async fn reserve(&mut self) -> Result<(), QuotaRejection> {
        if !self.try_reserve() {
            let permit = self.quotas.permit(&self.customer, Turn::Last).await;
            let permit = permit.inspect_err(|_| self.quotas.count_rejection(&self.customer))?;
            self.reservation.hold(permit, clock::now());
        }
        Ok(())
    }

    fn try_reserve(&mut self) -> bool {
        let now = clock::now();
        if self.reservation.is_held(now) {
            return true;
        }
        self.release();
        let take = |holder: &mut super::Holder<_>| holder.try_take(now);
        let Some(permit) = self.quotas.with_holder(&self.customer, now, take) else {
            return false;
        };
        self.reservation.hold(permit, now);
        self.quotas.step(&self.customer);
        true
    }

    async fn send(&mut self) -> bool {
        if !self.try_reserve() {
            let permit = self.quotas.permit(&self.customer, Turn::First);
            let replaced = compio::time::timeout(REPLACE_TIMEOUT.as_duration(), permit).await;
            let Ok(Ok(permit)) = replaced else {
                return false;
            };
            self.reservation.hold(permit, clock::now());
        }
        self.reservation.send(clock::now())
    }

    fn release(&mut self) {
        if let Some(permit) = self.reservation.release() {
            self.quotas.give_back(&self.customer, permit);
        }
    }
}

impl Drop for Limited {
    fn drop(&mut self) {
        self.release();
    }
}
