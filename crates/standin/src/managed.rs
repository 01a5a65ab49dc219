//! A stand-in for the operators' platform: its store, its orders, and instances that
//! speak the line protocol, with faults that tests switch on.
//!
//! Everything runs on threads of the test's process, over real sockets.

mod http;
mod instance;
mod store;
pub mod wire;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

pub use instance::Arrival;
use instance::Group;
use store::Store;

/// Time that the platform takes to make an instance lead, without another setting.
const PROMOTE: Duration = Duration::from_millis(100);

/// Time for which the connection of a held order stays open; longer than a caller waits.
const HELD: Duration = Duration::from_secs(5);

/// What an instance does wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Connections are closed, new ones at once.
    Down,
    /// Nothing is answered any more, connections stay open.
    Dark,
    /// Statements run, and their answers are lost.
    LosesAnswers,
    /// It receives nothing of the primary's log.
    Deaf,
    /// It receives the log and applies nothing of it while it follows.
    Lagging,
    /// Statements are refused, as with all slots taken.
    Busy,
}

/// What the store and the orders do wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// Nothing.
    #[default]
    None,
    /// Calls are refused, and watches that wait end.
    Away,
    /// Calls are refused for want of capacity.
    Crowded,
    /// Answers take longer.
    Slow(Duration),
    /// Calls are carried out and not answered.
    LosesAnswers,
    /// Answers arrive over a link that carries so many bytes a second.
    Narrow(usize),
}

#[derive(Default)]
struct World {
    store: Store,
    group: Group,
    /// Connections that one instance accepts; 0 for any number.
    max_connections: usize,
    store_fault: StoreFault,
    /// Watches that wait for changes now.
    watches: usize,
    /// Watches that were begun so far.
    watches_begun: usize,
    /// Time after which the next order is carried out, without an answer.
    late_order: Option<Duration>,
    /// Time that the platform takes to make an instance lead.
    promote_takes: Option<Duration>,
    /// Whether orders are left without an answer, to be carried out later.
    holds_orders: bool,
    /// Orders that are held: instance and token, in the order of their arrival.
    held_orders: Vec<(String, u64)>,
    orders: Vec<(String, u64)>,
    /// The instance of each accepted order that has not taken effect yet.
    orders_in_progress: Vec<usize>,
    /// Accepted orders for another instance than one of an earlier order in progress.
    overlapping_orders: usize,
    /// Word of a statement that the next instance to get it carries out late, without an
    /// answer.
    late_statement: Option<(String, Duration)>,
}

impl World {
    fn begin_watch(&mut self) {
        self.watches += 1;
        self.watches_begun += 1;
    }
}

/// The running stand-in.
#[derive(Clone)]
pub struct Managed {
    world: Arc<Mutex<World>>,
    address: SocketAddr,
}

impl Managed {
    /// Starts a store and a group of `instances`, the first of which leads.
    pub fn start(instances: usize) -> io::Result<Self> {
        let world: Arc<Mutex<World>> = Arc::default();
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let managed = Self { world, address };
        let http = managed.clone();
        thread::spawn(move || http::serve(&listener, &http));
        for at in 0..instances {
            managed.start_instance(at == 0)?;
            managed.announce(at);
        }
        Ok(managed)
    }

    fn start_instance(&self, leads: bool) -> io::Result<usize> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let at = self.lock().group.add(address, leads);
        let instance = self.clone();
        thread::spawn(move || instance::serve(&listener, &instance, at));
        Ok(at)
    }

    /// Starts one more instance, which receives the log and is not announced yet.
    pub fn join(&self) -> io::Result<usize> {
        self.start_instance(false)
    }

    /// Where the store and the orders are.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Watches of the store that wait for changes now.
    pub fn watches(&self) -> usize {
        self.lock().watches
    }

    /// Watches of the store that were begun so far.
    pub fn watches_begun(&self) -> usize {
        self.lock().watches_begun
    }

    /// Writes the operators' configuration.
    pub fn configure(&self, value: &serde_json::Value) {
        self.put("op/config", value.to_string().as_bytes());
    }

    /// Writes a key as another writer than the proxies.
    pub fn put(&self, key: &str, value: &[u8]) {
        self.lock().store.put(key, value, 0);
    }

    /// The keys that begin with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.lock().store.keys(prefix)
    }

    /// Switches a fault of an instance on, or off by [`Fault::None`].
    pub fn set_fault(&self, instance: usize, fault: Fault) {
        self.lock().group.set_fault(instance, fault);
    }

    /// Sets how many connections one instance accepts.
    pub fn set_max_connections(&self, most: usize) {
        self.lock().max_connections = most;
    }

    /// Lets the store and the orders fail, or answer again by [`StoreFault::None`].
    pub fn set_store_fault(&self, fault: StoreFault) {
        self.lock().store_fault = fault;
    }

    /// Lets the store forget its history: watches from earlier revisions are refused.
    pub fn forget_history(&self) {
        self.lock().store.forget_history();
    }

    /// Ends every lease, as a store does whose clock jumped.
    pub fn lapse_leases(&self) {
        self.lock().store.lapse_all();
    }

    /// Announces an instance at another address, one that leads to its own.
    pub fn announce_at(&self, instance: usize, address: SocketAddr) {
        self.lock().group.set_address(instance, address);
        self.announce(instance);
    }

    /// Where an instance is announced.
    pub fn instance_address(&self, instance: usize) -> SocketAddr {
        self.lock().group.address(instance)
    }

    /// Leaves the next order without an answer and carries it out after a while.
    pub fn delay_next_order(&self, delay: Duration) {
        self.lock().late_order = Some(delay);
    }

    /// Leaves orders without an answer from now on, until each is carried out by
    /// [`Managed::carry_out_order`]; or takes orders again.
    pub fn hold_orders(&self, holds: bool) {
        self.lock().holds_orders = holds;
    }

    /// The orders that are held: instance and token, in the order of their arrival.
    pub fn held_orders(&self) -> Vec<(String, u64)> {
        self.lock().held_orders.clone()
    }

    /// Carries out the held order that arrived first; `false` if none is held or it is
    /// refused.
    pub fn carry_out_order(&self) -> bool {
        let mut world = self.lock();
        if world.held_orders.is_empty() {
            return false;
        }
        let (id, token) = world.held_orders.remove(0);
        drop(world);
        self.order(&id, token)
    }

    /// Leaves the next statement that begins with `word` without an answer and carries it
    /// out after a while.
    pub fn delay_next_statement(&self, word: &str, delay: Duration) {
        self.lock().late_statement = Some((word.to_owned(), delay));
    }

    fn take_late(&self, text: &str) -> Option<Duration> {
        let mut world = self.lock();
        let late = &mut world.late_statement;
        let meant = late.take_if(|(word, _)| text.split(' ').next() == Some(word));
        meant.map(|(_, delay)| delay)
    }

    /// Sets how long the platform takes to carry an order out that it has accepted.
    pub fn set_promote_time(&self, takes: Duration) {
        self.lock().promote_takes = Some(takes);
    }

    /// Lets an instance's entry lapse, as that of one that has been silent for long.
    pub fn lapse(&self, instance: usize) {
        let mut world = self.lock();
        let key = world.group.entry(instance).0;
        world.store.delete(&key);
    }

    /// Lets an instance that was down come back, with its log and its id.
    pub fn come_back(&self, instance: usize) {
        self.lock().group.set_fault(instance, Fault::None);
        self.announce(instance);
    }

    /// Lets an instance that was down come back under another id, with its log.
    pub fn come_back_as(&self, instance: usize, id: &str) {
        let mut world = self.lock();
        let key = world.group.entry(instance).0;
        world.store.delete(&key);
        world.group.rename(instance, id);
        world.group.set_fault(instance, Fault::None);
        drop(world);
        self.announce(instance);
    }

    /// Makes an instance say that it leaves.
    pub fn leave(&self, instance: usize) {
        self.lock().group.leave(instance);
        self.announce(instance);
    }

    /// Stops an instance from receiving, as a coordinator does that dies afterwards.
    pub fn pause(&self, instance: usize, term: u64) {
        self.lock().group.pause(instance, term);
    }

    /// Whether an instance was told to stop receiving.
    pub fn is_paused(&self, instance: usize) -> bool {
        self.lock().group.is_paused(instance)
    }

    /// The instance that leads.
    pub fn primary(&self) -> usize {
        self.lock().group.primary()
    }

    /// Commits of the group's newest log that were acknowledged or could have been.
    pub fn log(&self) -> Vec<String> {
        self.lock().group.log()
    }

    /// Orders that were carried out: instance and token.
    pub fn orders(&self) -> Vec<(String, u64)> {
        self.lock().orders.clone()
    }

    /// Accepted orders for another instance than that of an earlier order, which had not taken
    /// effect yet.
    pub fn overlapping_orders(&self) -> usize {
        self.lock().overlapping_orders
    }

    /// Statements that instances ran, by id.
    pub fn runs(&self, id: &str) -> usize {
        self.lock().group.runs(id)
    }

    /// Statements of callers that instances ran, in order.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().group.arrivals().to_vec()
    }

    /// Changes the log as a proxy does that this test does not run.
    pub fn write_elsewhere(&self, item: &str, data: &str) {
        self.lock().group.write(item, data);
    }

    fn lock(&self) -> MutexGuard<'_, World> {
        let world = self.world.lock();
        world.unwrap_or_else(PoisonError::into_inner)
    }

    fn announce(&self, at: usize) {
        let mut world = self.lock();
        let (key, value) = world.group.entry(at);
        world.store.put(&key, value.to_string().as_bytes(), 0);
    }

    /// Takes an order; `None` leaves it without an answer.
    fn take_order(&self, id: &str, token: u64) -> Option<bool> {
        let mut world = self.lock();
        if world.holds_orders {
            world.held_orders.push((id.to_owned(), token));
            drop(world);
            // The connection stays open and silent meanwhile.
            thread::sleep(HELD);
            return None;
        }
        let late = world.late_order.take();
        drop(world);
        let Some(delay) = late else {
            return Some(self.order(id, token));
        };
        let (this, id) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            thread::sleep(delay);
            this.order(&id, token);
        });
        None
    }

    /// Carries an order out a moment later; `false` if it is refused. An instance that leads
    /// when its order is accepted leads again if it is demoted before the order takes effect.
    fn order(&self, id: &str, token: u64) -> bool {
        let mut world = self.lock();
        let Some(at) = world.group.find(id) else {
            return false;
        };
        let newest = world.orders.iter().map(|(_, token)| *token).max();
        if !world.group.runs_now(at) || newest.is_some_and(|newest| token < newest) {
            return false;
        }
        world.orders.push((id.to_owned(), token));
        world.overlapping_orders += usize::from(world.orders_in_progress.iter().any(|i| *i != at));
        world.orders_in_progress.push(at);
        let takes = world.promote_takes.unwrap_or(PROMOTE);
        drop(world);
        let this = self.clone();
        thread::spawn(move || {
            thread::sleep(takes);
            let mut world = this.lock();
            world.orders_in_progress.remove(0);
            let all = world.group.promote(at);
            drop(world);
            for at in 0..all {
                this.announce(at);
            }
        });
        true
    }
}
