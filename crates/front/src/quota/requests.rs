//! Requests for permits to other proxies, and which of those answer none.

use futures_util::future::{self, Either};
use model::id::{CustomerId, ProxyId};
use policy::quota::{Answer, Holder, SILENT_AFTER};

use super::{INFORM_INTERVAL, Quotas, Reply};
use crate::clock;

impl Quotas {
    /// Requests permits from another proxy. When the answer takes long, all customers' operations
    /// pass that proxy over from then on.
    pub(super) async fn ask(&self, customer: &CustomerId, granter: ProxyId, count: u32) {
        let answer = self.permits_of(customer, &granter, count);
        let late = clock::sleep_until(clock::now() + SILENT_AFTER);
        futures_util::pin_mut!(answer, late);
        let answer = match future::select(answer, late).await {
            Either::Left((answer, _)) => answer,
            Either::Right(((), answer)) => {
                self.note_answer(&granter, false);
                answer.await
            }
        };
        self.note_answer(&granter, answer.is_some());
        let now = clock::now();
        let answered = |holder: &mut Holder<Reply>| holder.answered(&granter, answer, now);
        let actions = self.with_holder(customer, now, answered);
        self.act(customer, actions);
    }

    async fn permits_of(
        &self,
        customer: &CustomerId,
        granter: &ProxyId,
        count: u32,
    ) -> Option<Answer> {
        let (relay, address) = {
            let state = self.0.borrow();
            let address = state.addresses.get(granter).map(|(address, _)| *address);
            (state.relay.clone(), address)
        };
        relay.permits(granter, address?, customer, count).await
    }

    /// Records for all customers whether a granter answers.
    fn note_answer(&self, granter: &ProxyId, answered: bool) {
        let mut state = self.0.borrow_mut();
        let changed = match answered {
            true => state.silence.answered(granter),
            false => state.silence.no_answer(granter, clock::now()),
        };
        if !changed {
            return;
        }
        tracing::info!(%granter, answers = answered, "whether a granter of permits answers has changed");
        let mut waiting = Vec::new();
        for (customer, holder) in &mut state.holders {
            holder.set_silent(granter, !answered);
            if holder.waiting() > 0 {
                waiting.push(customer.clone());
            }
        }
        drop(state);
        for customer in waiting {
            self.step(&customer);
        }
    }

    /// Queries the silent granters, so that those that answer again are asked for permits.
    pub(super) async fn query_silent(self) {
        loop {
            clock::sleep_until(clock::now() + INFORM_INTERVAL).await;
            let queries = {
                let mut state = self.0.borrow_mut();
                let customer = state.budgets.keys().next().cloned();
                customer.map(|customer| (customer, state.silence.queries(clock::now())))
            };
            let Some((customer, granters)) = queries else {
                continue;
            };
            for granter in granters {
                let (this, customer) = (self.clone(), customer.clone());
                let querying = async move {
                    // No permits are requested.
                    if this.permits_of(&customer, &granter, 0).await.is_some() {
                        this.note_answer(&granter, true);
                    }
                };
                compio::runtime::spawn(querying).detach();
            }
        }
    }

    /// Number of granters that answer no requests of this proxy.
    pub fn silent_granters(&self) -> usize {
        self.0.borrow().silence.len()
    }
}
