//! Configuration, membership and the operators' pages of running proxies.

mod env;

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use env::{Env, Setup, column};
use model::config::Fleet;
use model::id::DataCentre;
use model::position::Revision;
use peer::status::Status;
use proxy::config::{Builder, Config};
use proxy::run::Embedded;
use standin::platform::Fault;
use store::kv::Outcome;

const SECRET: &str = "a secret of the fleet";
const ANY_PORT: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

/// Longest wait for something that takes a few seconds at most.
const PATIENCE: Duration = Duration::from_secs(30);

fn stand_ins() -> standin::Fleet {
    standin::Fleet::start(standin::Spec::small()).expect("the stand-ins start")
}

fn on_store<T>(stand_ins: &standin::Fleet, f: impl AsyncFnOnce(store::Client) -> T) -> T {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    let url = format!("http://{}", stand_ins.addresses().platform[0]);
    runtime.block_on(async { f(store::Client::new(vec![url]).expect("a client")).await })
}

fn publish(stand_ins: &standin::Fleet, change: impl FnOnce(&mut Fleet)) -> Revision {
    on_store(stand_ins, async |client| {
        let base = client.load_config().await.expect("the store answers");
        let mut fleet = if base.revision == Revision(0) {
            stand_ins.document()
        } else {
            base.fleet.clone()
        };
        change(&mut fleet);
        let nonce = format!("test-{}", base.revision);
        match client.save_config(&base, &fleet, &nonce).await {
            Ok(Outcome::Applied(revision)) => revision,
            other => panic!("not applied: {other:?}"),
        }
    })
}

/// Settings of a proxy that learns its configuration from the store or from `seeds`.
fn settings(stand_ins: &standin::Fleet, site: usize, seeds: Vec<SocketAddr>) -> Builder {
    let (name, address) = stand_ins.addresses().platform.get_index(site).unwrap();
    let name: DataCentre = name.clone();
    Config::builder(name, SECRET)
        .peer_listen(SocketAddr::from(ANY_PORT))
        .store(vec![format!("http://{address}")])
        .seeds(seeds)
}

fn start(stand_ins: &standin::Fleet, site: usize, seeds: Vec<SocketAddr>) -> Embedded {
    Embedded::start(settings(stand_ins, site, seeds).build()).expect("the proxy starts")
}

fn get(proxy: &Embedded, path: &str) -> (u16, String) {
    let address = proxy.peer_address().expect("it listens for operators");
    let mut stream = TcpStream::connect(address).expect("the listener answers");
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nHost: proxy\r\nConnection: close\r\n\r\n"
    )
    .expect("the request is sent");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an answer comes");
    let (head, body) = text.split_once("\r\n\r\n").expect("a whole answer");
    let code = head.split(' ').nth(1).and_then(|code| code.parse().ok());
    (code.unwrap_or_default(), body.to_owned())
}

fn status(proxy: &Embedded) -> Status {
    let (code, body) = get(proxy, peer::status::PATH);
    assert_eq!(code, 200);
    serde_json::from_str(&body).expect("a status page")
}

/// Looks at a proxy's status until it is as wanted.
fn until(proxy: &Embedded, wanted: impl Fn(&Status) -> bool) -> Status {
    let end = Instant::now() + PATIENCE;
    loop {
        let page = status(proxy);
        if wanted(&page) {
            return page;
        }
        assert!(Instant::now() < end, "not as wanted: {page:?}");
        thread::sleep(Duration::from_millis(50));
    }
}

fn live(page: &Status) -> usize {
    page.members.iter().filter(|m| m.state == "live").count()
}

#[test]
fn a_change_comes_into_force_everywhere_with_one_watch_for_each_data_centre() {
    let stand_ins = stand_ins();
    publish(&stand_ins, |_| {});
    let first = start(&stand_ins, 0, Vec::new());
    let seeds = vec![first.peer_address().unwrap()];
    let others: Vec<_> = [0, 1, 1, 2]
        .into_iter()
        .map(|site| start(&stand_ins, site, seeds.clone()))
        .collect();
    until(&first, |page| live(page) == 5);
    let revision = publish(&stand_ins, |fleet| fleet.defaults.queue = 77);
    until(&first, |page| {
        page.members.iter().all(|m| m.revision == revision)
    });
    // A proxy that has just joined may still hold a watch that another now holds.
    let end = Instant::now() + PATIENCE;
    loop {
        let all = [&first].into_iter().chain(&others).map(status);
        let mut watching: Vec<_> = all.filter(|p| p.watching).collect();
        watching.sort_by(|a, b| a.data_centre.cmp(&b.data_centre));
        let sites: Vec<_> = watching.iter().map(|p| p.data_centre.as_str()).collect();
        if sites == ["dc1", "dc2", "dc3"] {
            break;
        }
        assert!(Instant::now() < end, "watches in {sites:?}");
        thread::sleep(Duration::from_millis(50));
    }
}

/// The store is down, and a VM is replaced. The new proxy has no configuration of its own;
/// it gets the one in force from a peer and serves.
#[test]
fn a_proxy_that_starts_during_a_store_outage_serves() {
    let stand_ins = stand_ins();
    let revision = publish(&stand_ins, |_| {});
    let first = start(&stand_ins, 0, Vec::new());
    stand_ins.control().store(Fault::Down).unwrap();
    let new = start(&stand_ins, 0, vec![first.peer_address().unwrap()]);
    assert_eq!(status(&new).revision, revision);
    let mut login = postgres::Config::new();
    login
        .host("127.0.0.1")
        .port(new.address().port())
        .user("app")
        .dbname("g1");
    let mut client = login.connect(postgres::NoTls).expect("the proxy serves");
    assert_eq!(column(&mut client, "SELECT 1"), ["1"]);
}

/// An operator's script writes a configuration past all checks. Proxies keep the last good
/// one in force, and take the next that passes.
#[test]
fn a_configuration_that_fails_its_checks_is_not_adopted() {
    let stand_ins = stand_ins();
    let good = publish(&stand_ins, |_| {});
    let proxy = start(&stand_ins, 0, Vec::new());
    publish(&stand_ins, |fleet| fleet.defaults.slots = 0);
    let better = publish(&stand_ins, |fleet| fleet.defaults.slots = 2);
    assert!(status(&proxy).revision == good || status(&proxy).revision == better);
    until(&proxy, |page| page.revision == better);
}

#[test]
fn a_stopped_proxy_says_goodbye() {
    let stand_ins = stand_ins();
    publish(&stand_ins, |_| {});
    let first = start(&stand_ins, 0, Vec::new());
    let second = start(&stand_ins, 0, vec![first.peer_address().unwrap()]);
    until(&first, |page| live(page) == 2);
    drop(second);
    let page = until(&first, |page| live(page) == 1);
    assert!(page.members.iter().any(|m| m.state == "gone"));
}

#[test]
fn operators_read_health_metrics_and_decisions() {
    let env = Env::with(Setup {
        settings: |builder| builder.peer_listen(SocketAddr::from(ANY_PORT)),
        ..Setup::default()
    });
    let mut client = env.connect(0);
    client.simple_query("CREATE TABLE t (x INT)").unwrap();
    let proxy = &env.proxies[0];
    assert_eq!(get(proxy, "/health").0, 200);
    let (_, metrics) = get(proxy, "/metrics");
    for name in [
        "pomelo_waiting_seconds_count{group=\"g1\"}",
        "pomelo_serving_seconds_count{group=\"g1\"}",
        "pomelo_confirming_seconds_count{group=\"g1\"}",
        "pomelo_requests_total{ending=\"answered\",group=\"g1\"} 1",
        "pomelo_callers 1",
        "pomelo_members{state=\"live\"} 1",
    ] {
        assert!(metrics.contains(name), "{name} is missing in {metrics}");
    }
    let (code, decisions) = get(proxy, "/explain/g1");
    assert_eq!(code, 200);
    assert!(serde_json::from_str::<Vec<serde_json::Value>>(&decisions).is_ok());
    assert_eq!(get(proxy, "/explain/unknown").0, 404);
}
