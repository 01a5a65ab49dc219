//! What the data path costs: latency and processor time of a statement, memory of a caller.

mod forwarder;
mod memory;
mod thread_time;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use futures_util::future;
use miette::IntoDiagnostic as _;
use model::unit::Span;
use proxy::config::Config;
use proxy::run::Server;

use crate::client::{Client, ClientError, Login};
use crate::report::{Latency, Table};
use forwarder::Forwarder;
use thread_time::Clock;

/// Rounds in which the ways take turns, so that a disturbance hits all of them.
const ROUNDS: u32 = 4;
/// Statements before each measurement, for connections and caches to settle.
const WARM_UP: u32 = 50;
const READ: &str = "SELECT note FROM record WHERE id = 7";
const WRITE: &str = "UPDATE record SET note = 'b' WHERE id = 7";

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("latency")
        .about("Measure what the proxy adds to a statement")
        .long_about(
            "Run the same statements directly, through a bare byte forwarder, and through \
             a proxy, in turn, and print latency and statements per processor second; then \
             open idle caller connections and print the memory of each.",
        )
        .arg(number(
            "seconds",
            "12",
            "Time for each way and number of connections",
        ))
        .arg(number(
            "connections",
            "16",
            "Connections in the throughput part",
        ))
        .arg(
            Arg::new("service")
                .long("service")
                .value_name("SPAN")
                .default_value("0us")
                .value_parser(value_parser!(Span))
                .help("Time that the server takes for every statement"),
        )
        .arg(number(
            "idle",
            "10000",
            "Most idle connections; 0 skips them",
        ))
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u32))
        .help(help)
}

/// Runs the measurement and returns its figures.
pub fn run(args: &ArgMatches) -> miette::Result<Vec<Table>> {
    let get = |name| *args.get_one::<u32>(name).expect("it has a default");
    let service = *args.get_one::<Span>("service").expect("it has a default");
    let spec = spec(service);
    let runtime = compio::runtime::Runtime::new().into_diagnostic()?;
    runtime.block_on(async {
        let mut tables = Vec::new();
        let round = Duration::from_secs(get("seconds").into()) / ROUNDS;
        for (sql, name) in [(READ, "read"), (WRITE, "write")] {
            for connections in [1, get("connections")] {
                let title = format!("{name}, {connections} connections");
                tables.push(compare(&title, &spec, sql, connections, round).await?);
            }
        }
        if get("idle") > 0 {
            tables.push(memory::measure(&spec, get("idle")).await?);
        }
        Ok(tables)
    })
}

/// One way to the backend server.
struct Way {
    name: &'static str,
    login: Login,
    /// Clock of the thread between caller and server, if there is one.
    clock: Option<Clock>,
    latency: Latency,
    busy: Duration,
    time: Duration,
}

impl Way {
    fn new(name: &'static str, address: SocketAddr, clock: Option<Clock>) -> Self {
        let (user, database) = match name {
            PROXY => ("app", "g1"),
            _ => ("pomelo", "pomelo"),
        };
        let login = Login {
            address,
            source: None,
            user: user.to_owned(),
            database: database.to_owned(),
            session: None,
        };
        Self {
            name,
            login,
            clock,
            latency: Latency::default(),
            busy: Duration::ZERO,
            time: Duration::ZERO,
        }
    }
}

const PROXY: &str = "proxy";

/// A server with more slots than the connections need: the ways differ, not the server.
fn spec(service: Span) -> standin::Spec {
    standin::Spec {
        service,
        slots: 64,
        connections: 200,
        ..standin::Spec::small()
    }
}

async fn compare(
    title: &str,
    spec: &standin::Spec,
    sql: &str,
    n: u32,
    round: Duration,
) -> miette::Result<Table> {
    let stand_ins = standin::Fleet::start(spec.clone()).into_diagnostic()?;
    let (cfg, _file) = config(&stand_ins).into_diagnostic()?;
    let proxy = Proxy::start(cfg).into_diagnostic()?;
    let primary = stand_ins.addresses().instances[0].address;
    let forwarder = Forwarder::start(primary).into_diagnostic()?;
    let mut ways = [
        Way::new("direct", primary, None),
        Way::new("forwarder", forwarder.address(), Some(forwarder.clock())),
        Way::new(PROXY, proxy.address, Some(proxy.clock.clone())),
    ];
    prepare(&ways[2].login).await.into_diagnostic()?;
    for _ in 0..ROUNDS {
        for way in &mut ways {
            take_turn(way, sql, n, round).await.into_diagnostic()?;
        }
    }
    Ok(table(title, &ways))
}

/// Settings of a proxy before these stand-ins.
pub(crate) fn config(
    stand_ins: &standin::Fleet,
) -> std::io::Result<(Config, tempfile::NamedTempFile)> {
    let file = tempfile::NamedTempFile::new()?;
    serde_json::to_writer(&file, &stand_ins.document())?;
    let centre = &stand_ins.addresses().instances[0].data_centre;
    let cfg = Config::builder(centre.clone(), "secret of the measurement")
        .fleet_file(file.path().to_owned())
        .build();
    Ok((cfg, file))
}

/// A proxy on a thread of its own, with the thread's clock. It ends with the process.
struct Proxy {
    address: SocketAddr,
    clock: Clock,
}

impl Proxy {
    fn start(cfg: Config) -> std::io::Result<Self> {
        let (tx, rx) = flume::bounded(1);
        std::thread::Builder::new().spawn(move || {
            let runtime = compio::runtime::Runtime::new()?;
            runtime.block_on(async {
                let bound = Server::bind(cfg).await;
                let server = bound.map_err(std::io::Error::other)?;
                let _ = tx.send((server.address(), Clock::start()));
                server.serve(future::pending()).await;
                Ok::<_, std::io::Error>(())
            })
        })?;
        let (address, clock) = rx.recv().map_err(|_| std::io::ErrorKind::BrokenPipe)?;
        Ok(Self { address, clock })
    }
}

async fn prepare(login: &Login) -> Result<(), ClientError> {
    let mut client = Client::connect(login).await?;
    client
        .query("CREATE TABLE record (id BIGINT PRIMARY KEY, note TEXT)")
        .await?;
    for id in 0..10 {
        let sql = format!("INSERT INTO record VALUES ({id}, 'a note')");
        client.query(&sql).await?;
    }
    Ok(())
}

async fn take_turn(way: &mut Way, sql: &str, n: u32, round: Duration) -> Result<(), ClientError> {
    let mut clients = Vec::new();
    for _ in 0..n {
        let mut client = Client::connect(&way.login).await?;
        for _ in 0..WARM_UP {
            client.query(sql).await?;
        }
        clients.push(client);
    }
    let clock = way.clock.clone();
    let busy = async || match &clock {
        Some(clock) => clock.read().await,
        None => Duration::ZERO,
    };
    let (before, start) = (busy().await, Instant::now());
    let runs = clients
        .into_iter()
        .map(|client| repeat(client, sql, start + round));
    for latency in future::try_join_all(runs).await? {
        way.latency.merge(&latency);
    }
    way.time += start.elapsed();
    way.busy += busy().await.saturating_sub(before);
    Ok(())
}

async fn repeat(mut client: Client, sql: &str, end: Instant) -> Result<Latency, ClientError> {
    let mut latency = Latency::default();
    loop {
        let start = Instant::now();
        if start >= end {
            return Ok(latency);
        }
        client.query(sql).await?;
        latency.record(Span::from(start.elapsed()));
    }
}

fn table(title: &str, ways: &[Way; 3]) -> Table {
    let columns = [
        "way",
        "p50 us",
        "p99 us",
        "x direct",
        "per s",
        "per core s",
        "x forwarder",
    ];
    let mut table = Table::new(title, &columns);
    let p50 = |way: &Way| way.latency.quantile(0.5).as_micros();
    let per_core = |way: &Way| way.latency.count() as f64 / way.busy.as_secs_f64();
    for way in ways {
        let of_forwarder = per_core(way) / per_core(&ways[1]);
        let has_thread = way.clock.is_some();
        let shown = |figure: f64, digits: usize| match has_thread {
            true => format!("{figure:.digits$}"),
            false => "-".to_owned(),
        };
        table.row([
            way.name.to_owned(),
            p50(way).to_string(),
            way.latency.quantile(0.99).as_micros().to_string(),
            format!("{:.2}", p50(way) as f64 / p50(&ways[0]) as f64),
            format!("{:.0}", way.latency.count() as f64 / way.time.as_secs_f64()),
            shown(per_core(way), 0),
            shown(of_forwarder, 2),
        ]);
    }
    table
}
