//! Who gets in, and what it costs those who do not.

mod env;

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use env::{Env, Setup, code, column};
use model::unit::Span;
use pg::scram::Verifier;
use postgres::NoTls;
use proxy::config::{Limits, Tls};
use test_case::test_case;

fn with_password() -> Env {
    Env::with(Setup {
        document: |fleet| {
            let caller = fleet.callers.values_mut().next().expect("a caller");
            let verifier = Verifier::derive("right", b"0123456789abcdef", 4_096);
            caller.verifier = Some(verifier.to_string());
        },
        ..Setup::default()
    })
}

#[test_case("app", "right", "g1", ""; "all is right")]
#[test_case("app", "wrong", "g1", "28P01"; "wrong password")]
#[test_case("nobody", "right", "g1", "28P01"; "unknown caller looks like a wrong password")]
#[test_case("app", "right", "g2", "28000"; "group that is not allowed")]
fn password(user: &str, password: &str, group: &str, expected: &str) {
    let env = with_password();
    let mut login = env.login(0);
    login.user(user).password(password).dbname(group);
    match login.connect(NoTls) {
        Ok(mut client) => assert_eq!(column(&mut client, "SELECT 1"), ["1"]),
        Err(e) => assert_eq!(code(&e), expected),
    }
}

/// Reads until the proxy closes the connection.
fn read_to_end(stream: &mut TcpStream) -> Vec<u8> {
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let mut answer = Vec::new();
    stream
        .read_to_end(&mut answer)
        .expect("the proxy closes the connection");
    answer
}

// A port scanner or a broken client sends something else than a start-up packet.
// Its length is refused as soon as it is read, so nothing is buffered for it.
#[test_case(&[0x7f, 0xff, 0xff, 0xff, 0, 3, 0, 0]; "oversized")]
#[test_case(b"GET / HTTP/1.1\r\n\r\n"; "another protocol")]
#[test_case(&[0, 0, 0, 8, 0, 2, 0, 0]; "old version")]
#[test_case(&[0, 0, 0, 9, 0, 3, 0, 0, b'u']; "malformed")]
fn bad_startup(packet: &[u8]) {
    let env = Env::start();
    let mut stream = TcpStream::connect(env.address(0)).unwrap();
    stream.write_all(packet).unwrap();
    let answer = String::from_utf8_lossy(&read_to_end(&mut stream)).into_owned();
    assert!(
        answer.starts_with('E') && answer.contains("08P01"),
        "{answer:?}"
    );
    assert_eq!(column(&mut env.connect(0), "SELECT 1"), ["1"]);
}

// A client connects and says nothing, or stops in the middle of its login: its
// machine vanished, or it means harm. The connection is closed after the limit.
#[test_case(&[]; "silent from the start")]
#[test_case(&[0, 0, 0, 50, 0, 3]; "half a packet")]
fn half_open_connections_end(packet: &[u8]) {
    let env = Env::with(Setup {
        settings: |builder| {
            let login = Span::from_millis(200);
            builder.limits(Limits {
                login,
                ..Limits::default()
            })
        },
        ..Setup::default()
    });
    let mut stream = TcpStream::connect(env.address(0)).unwrap();
    stream.write_all(packet).unwrap();
    assert!(read_to_end(&mut stream).is_empty());
    assert_eq!(column(&mut env.connect(0), "SELECT 1"), ["1"]);
}

// A caller leaks connections. The next one is told so at once; when one of the others
// ends, its place is free again.
#[test]
fn callers_are_bounded() {
    let env = Env::with(Setup {
        settings: |builder| {
            builder.limits(Limits {
                callers: 2,
                ..Limits::default()
            })
        },
        ..Setup::default()
    });
    let first = env.connect(0);
    let _second = env.connect(0);
    let e = env
        .login(0)
        .connect(NoTls)
        .err()
        .expect("there is no third place");
    assert_eq!(code(&e), "53300");
    drop(first);
    while env.login(0).connect(NoTls).is_err() {
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn file(name: &str) -> std::path::PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "env", name]
        .iter()
        .collect()
}

#[test]
fn tls_where_a_certificate_is_set() {
    let env = Env::with(Setup {
        settings: |builder| {
            builder.tls(Tls {
                certificate: file("certificate.pem"),
                key: file("key.pem"),
            })
        },
        ..Setup::default()
    });
    let mut stream = TcpStream::connect(env.address(0)).unwrap();
    stream.write_all(&[0, 0, 0, 8, 4, 210, 22, 47]).unwrap();
    let mut answer = [0];
    stream.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"S");
    let mut tls = rustls::StreamOwned::new(client(), stream);
    tls.write_all(b"\0\0\0\x1e\0\x03\0\0user\0app\0database\0g1\0\0")
        .unwrap();
    let mut head = [0; 9];
    tls.read_exact(&mut head).unwrap();
    assert_eq!(head, *b"R\0\0\0\x08\0\0\0\0");
}

fn client() -> rustls::ClientConnection {
    let pem = std::fs::read(file("certificate.pem")).unwrap();
    let mut roots = rustls::RootCertStore::empty();
    for certificate in rustls_pemfile::certs(&mut &pem[..]) {
        roots.add(certificate.unwrap()).unwrap();
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let cfg = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let name = "localhost".try_into().unwrap();
    rustls::ClientConnection::new(Arc::new(cfg), name).unwrap()
}
