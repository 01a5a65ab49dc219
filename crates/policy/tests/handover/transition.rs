//! The effect of each event on the world.

use crate::cfg::{Cfg, Guard};
use crate::coordinator;
use crate::world::{Announcement, Command, Event, Id, Instance, Order, Violation, World, bit, has};

impl World {
    /// Applies an event.
    pub(crate) fn apply(&mut self, cfg: &Cfg, event: Event) -> Result<(), Violation> {
        let result = self.transition(cfg, event);
        coordinator::end_without_role(self, cfg);
        result
    }

    fn transition(&mut self, cfg: &Cfg, event: Event) -> Result<(), Violation> {
        match event {
            Event::Write => {
                let commit = cfg.budget.writes - self.left.writes;
                self.left.writes -= 1;
                self.instances[self.primary].log |= bit(usize::from(commit));
            }
            Event::Receive(id) => return self.receive(cfg, id),
            Event::Crash(id) => self.crash(id),
            Event::Restart(id) => {
                self.left.restarts -= 1;
                self.instances[id].runs = true;
                self.instances[id].paused = 0;
                coordinator::restarted(self, id);
            }
            Event::Return(id) => self.return_with_new_id(id),
            Event::Lapse(id) => {
                self.left.lapses -= 1;
                self.instances[id].announcement = Announcement::Lapsed;
            }
            Event::Announce(id) => {
                self.instances[id].announcement = Announcement::Announced;
                self.instances[id].hidden = false;
            }
            Event::MakeEligible(id) => self.make_eligible(cfg, id),
            Event::Start => self.start(),
            Event::Decommission(id) => {
                self.left.decommissions -= 1;
                self.leaving |= bit(id);
            }
            Event::Arrive(order) => self.arrive(order),
            Event::Refuse(order) => {
                self.left.refusals -= 1;
                self.refuse(order);
            }
            Event::TakeEffect(order) => return self.take_effect(order),
            Event::Deliver(id, command) => self.deliver(id, command),
            Event::LoseRole => {
                self.left.lost_roles -= 1;
                self.holder += 1;
                if cfg.off != Some(Guard::Claim) {
                    self.coordinators[self.holder].intents = self.intents;
                }
            }
            Event::IntentLapsed => {
                self.orders.clear();
                self.intents.promotion = None;
                for this in &mut self.coordinators {
                    this.intents.promotion = None;
                }
            }
            Event::CatchUp(at) => self.coordinators[at].intents = self.intents,
            Event::Coordinator(at, event) => coordinator::apply(self, at, event, cfg),
            event => self.change_reachability(event),
        }
        Ok(())
    }

    /// Changes which instances are reachable.
    fn change_reachability(&mut self, event: Event) {
        match event {
            Event::Partition(id) => {
                self.left.partitions -= 1;
                self.partitioned |= bit(id);
            }
            Event::Heal(id) => {
                self.left.heals -= 1;
                self.partitioned &= !bit(id);
            }
            Event::Full(id) => {
                self.left.fulls -= 1;
                self.full |= bit(id);
            }
            Event::Free(id) => self.full &= !bit(id),
            _ => {}
        }
    }

    fn start(&mut self) {
        self.left.starts -= 1;
        let term = self.instances[self.primary].term;
        self.instances.push(Instance {
            runs: true,
            announcement: Announcement::NotYet,
            leads: false,
            term,
            log_term: 0,
            log: 0,
            paused: 0,
            incarnation: 0,
            hidden: false,
        });
    }

    /// Orders and commands for the previous id do not reach the instance.
    fn return_with_new_id(&mut self, id: Id) {
        self.left.returns -= 1;
        let i = &mut self.instances[id];
        i.runs = true;
        i.paused = 0;
        i.incarnation += 1;
        i.hidden = true;
        self.orders.retain(|o| o.instance != id);
        self.leaving &= !bit(id);
        self.commands.retain(|(to, _)| *to != id);
        coordinator::drop_old_id(self, id);
    }

    fn make_eligible(&mut self, cfg: &Cfg, id: Id) {
        self.eligible |= bit(id);
        self.acknowledge(cfg, id);
    }

    fn crash(&mut self, id: Id) {
        self.left.crashes -= 1;
        self.instances[id].runs = false;
        self.eligible &= !bit(id);
        // It is down for longer than an order takes to take effect.
        self.orders.retain(|o| !o.accepted || o.instance != id);
    }

    /// Proxies see what an eligible replica holds. A connection to a replica closes with
    /// its process, so a replica that restarts must become eligible again.
    fn acknowledge(&mut self, cfg: &Cfg, id: Id) {
        if has(self.eligible, id) || !cfg.needs_eligibility() {
            self.acknowledged |= self.replicated & self.instances[id].log;
        }
    }

    /// A replica receives everything that the primary has, so the primary responds to it all.
    fn receive(&mut self, cfg: &Cfg, id: Id) -> Result<(), Violation> {
        let primary = self.instances[self.primary];
        let i = &mut self.instances[id];
        i.log = primary.log;
        i.log_term = primary.log_term;
        i.term = primary.term;
        self.replicated |= primary.log;
        self.acknowledge(cfg, id);
        let leaders = self.instances.iter();
        let leaders = leaders.filter(|i| i.runs && i.leads && i.term == primary.term);
        if leaders.count() > 1 {
            return Err(Violation::TwoLeaders);
        }
        Ok(())
    }

    /// The platform accepts an order, or refuses it.
    fn arrive(&mut self, order: Order) {
        if order.token < self.platform_token || !self.instances[order.instance].runs {
            self.refuse(order);
            return;
        }
        self.orders.retain(|o| *o != order);
        self.platform_token = order.token;
        // Orders that would be refused now.
        self.orders.retain(|o| o.accepted || o.token > order.token);
        coordinator::record_response(self, order.token, true);
        // An order for the present primary takes effect if that instance is demoted meanwhile.
        let accepted = Order {
            accepted: true,
            ..order
        };
        self.orders.push(accepted);
        self.orders.sort_unstable();
    }

    fn refuse(&mut self, order: Order) {
        self.orders.retain(|o| *o != order);
        coordinator::record_response(self, order.token, false);
    }

    /// An instance leads the next term with the log that it holds.
    fn take_effect(&mut self, order: Order) -> Result<(), Violation> {
        self.orders.retain(|o| *o != order);
        let next = order.instance;
        if !self.instances[next].runs || next == self.primary && self.instances[next].leads {
            return Ok(());
        }
        let newest = self.instances.iter().map(|i| i.term).max();
        let term = newest.unwrap_or_default() + 1;
        let log = self.instances[next].log;
        for i in &mut self.instances {
            i.leads = false;
            i.paused = 0;
            i.term = term;
            if i.runs {
                i.roll_back(log);
            }
        }
        self.primary = next;
        self.instances[next].leads = true;
        self.instances[next].log_term = term;
        if self.acknowledged & !log != 0 {
            return Err(Violation::Lost(next));
        }
        Ok(())
    }

    pub(crate) fn deliver(&mut self, id: Id, command: Command) {
        self.commands.retain(|s| *s != (id, command));
        let i = &mut self.instances[id];
        match command {
            Command::Pause(term) if !i.leads && term > i.term => i.paused = i.paused.max(term),
            Command::Demote(term) if i.leads && term > i.term => i.leads = false,
            Command::Resume => i.paused = 0,
            Command::Pause(_) | Command::Demote(_) => {}
        }
    }

    pub(crate) fn send(&mut self, id: Id, command: Command) {
        if !self.commands.contains(&(id, command)) {
            self.commands.push((id, command));
            self.commands.sort_unstable();
        }
    }
}
