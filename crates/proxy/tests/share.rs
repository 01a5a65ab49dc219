//! Connections of a backend server follow demand between proxies, over real sockets.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::config::Fleet;
use model::id::{InstanceId, ProxyId};
use model::unit::Span;
use peer::auth::Key;
use peer::server::{Routes, Traffic};
use policy::admission::Limits;
use policy::slots;
use proxy::backend::Login;
use proxy::{admit, fleet, pool, share};
use standin::Spec;
use standin::platform::Fault;

const PATIENCE: Duration = Duration::from_secs(20);

fn document(standin: &standin::Fleet) -> Fleet {
    let mut fleet = standin.document();
    fleet.defaults.proxies = 3;
    fleet.defaults.connections = 20;
    fleet.defaults.loan = Span::from_millis(900);
    fleet
}

fn first_limits() -> Limits {
    Limits {
        share: slots::Share {
            slots: 3,
            total_connections: 20,
            connections: 3,
            round_trip: Span::from_millis(1),
        },
        queue: 100,
    }
}

/// Starts three share tasks that hear one another.
async fn start(standin: &standin::Fleet, fleet: &Fleet) -> Vec<share::Handle> {
    let (data_centre, _) = fleet.data_centres.first().unwrap();
    let url = standin.store_url(data_centre).unwrap();
    let mut live = IndexMap::new();
    let mut handles = Vec::new();
    for at in 0..3 {
        let key = Key::new(b"secret");
        let me: ProxyId = format!("p{at}").parse().unwrap();
        let handle = share::spawn(share::Setup {
            me: me.clone(),
            fleet: fleet::Handle::fixed(fleet.clone()),
            admit: admit::spawn(first_limits()),
            client: peer::Client::new(key.clone()).unwrap(),
            store: store::Client::new(vec![url.clone()]).unwrap(),
        });
        let routes = Routes::new(key, Traffic::default()).route(share::PATH, handle.calls());
        let listener = compio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let here = share::Live {
            data_centre: data_centre.clone(),
            address: listener.local_addr().unwrap(),
        };
        live.insert(me, here);
        let serve = cyper_axum::serve(listener, routes.into_router());
        compio::runtime::spawn(async move { serve.await }).detach();
        handles.push(handle);
    }
    for handle in &handles {
        handle.peers(live.clone());
    }
    handles
}

fn pool(standin: &standin::Fleet, instance: &InstanceId) -> pool::Handle {
    pool::spawn(pool::Setup {
        instance: instance.clone(),
        address: standin.addresses().instances[instance].address,
        via: None,
        local: "127.0.1.9".parse().unwrap(),
        login: Login {
            user: "pomelo".to_owned(),
            database: "pomelo".to_owned(),
            password: None,
        },
        limit: 3,
    })
}

async fn wait_for_share(handle: &share::Handle, instance: &InstanceId, share: u32) {
    let end = Instant::now() + PATIENCE;
    while handle.shares().await.get(instance) != Some(&share) {
        assert!(Instant::now() < end, "the share never became {share}");
        compio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn wait_for_more(handle: &share::Handle, instance: &InstanceId, share: u32) {
    let end = Instant::now() + PATIENCE;
    while handle
        .shares()
        .await
        .get(instance)
        .is_none_or(|now| *now <= share)
    {
        assert!(Instant::now() < end, "the share stayed at {share}");
        compio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Starts the stand-ins and three proxies, the first of which got ten connections at
/// once while the others are idle.
async fn start_with_demand() -> (standin::Fleet, Vec<share::Handle>, InstanceId) {
    let standin = standin::Fleet::start(Spec::small()).unwrap();
    let fleet = document(&standin);
    let instance = standin.addresses().instances.keys().next().unwrap().clone();
    let handles = start(&standin, &fleet).await;
    let pool = pool(&standin, &instance);
    handles[0].pool(&instance, pool.clone());
    let mut conns = Vec::new();
    for _ in 0..10 {
        let conn = pool.acquire(Instant::now() + PATIENCE).await;
        conns.push(conn.unwrap_or_else(|e| panic!("no connection: {e}")));
    }
    (standin, handles, instance)
}

// Ten requests of one proxy need a connection each while the other proxies are idle.
// All get one, although the proxy's own floor is three. Then the proxy loses sight of
// the others, its loan lapses, and it falls back to the floor by itself.
#[compio::test]
async fn connections_follow_demand() {
    let (_standin, handles, instance) = start_with_demand().await;
    let me: ProxyId = "p0".parse().unwrap();
    let here = share::Live {
        data_centre: "dc2".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
    };
    handles[0].peers(IndexMap::from([(me, here)]));
    wait_for_share(&handles[0], &instance, 3).await;
}

// The store goes out while connections are lent. The lender's authority ends, loans
// lapse, and the floor remains; once the store is back, demand is served again.
#[compio::test]
async fn floor_remains_without_the_store() {
    let (standin, handles, instance) = start_with_demand().await;
    standin.control().store(Fault::Down).unwrap();
    wait_for_share(&handles[0], &instance, 3).await;
    standin.control().store(Fault::None).unwrap();
    wait_for_more(&handles[0], &instance, 3).await;
}
