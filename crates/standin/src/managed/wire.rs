//! A TCP connection through loopback that misbehaves: bytes are held up, swallowed in one
//! direction, or connections are reset or go silent for good while new ones work.

use std::io::{self, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Pause between two looks of a direction that is cut.
const LOOK: Duration = Duration::from_millis(5);

/// Bytes taken at once.
const CHUNK: usize = 4_096;

/// What happens to bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weather {
    /// They pass.
    #[default]
    Clear,
    /// They pass later.
    Slow(Duration),
    /// What the side that connected sends is held back; answers pass.
    CutForth,
    /// Answers are held back; what is sent passes.
    CutBack,
    /// Nothing passes, in neither direction; new connections open and stay silent.
    Cut,
}

#[derive(Default)]
struct State {
    weather: Weather,
    /// Connections made before this one are silent for good.
    silent_before: u64,
    made: u64,
    open: Vec<(u64, TcpStream)>,
}

/// A listening address whose connections lead to another address.
#[derive(Clone)]
pub struct Wire {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Forth,
    Back,
}

impl Wire {
    /// Listens, and leads every connection to `target`.
    pub fn to(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let wire = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
        };
        let accepting = wire.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                accepting.carry(stream, target);
            }
        });
        Ok(wire)
    }

    /// Where to connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what happens to bytes from now on.
    pub fn set(&self, weather: Weather) {
        self.lock().weather = weather;
    }

    /// Breaks every open connection.
    pub fn reset(&self) {
        for (_, stream) in self.lock().open.drain(..) {
            // One that is gone already needs no breaking.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Silences every open connection for good; new ones work.
    pub fn silence(&self) {
        let mut state = self.lock();
        state.silent_before = state.made;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    fn carry(&self, from: TcpStream, target: SocketAddr) {
        let Ok(to) = TcpStream::connect(target) else {
            // Dropping the connection resets it, as a port without a listener does.
            return;
        };
        let halves = (from.try_clone(), to.try_clone(), from.try_clone());
        let (Ok(from_back), Ok(to_back), Ok(kept)) = halves else {
            return;
        };
        let number = {
            let mut state = self.lock();
            state.made += 1;
            let number = state.made;
            state.open.push((number, kept));
            number
        };
        let (forth, back) = (self.clone(), self.clone());
        thread::spawn(move || forth.pump(number, from, to, Direction::Forth));
        thread::spawn(move || back.pump(number, to_back, from_back, Direction::Back));
    }

    fn pump(&self, number: u64, mut from: TcpStream, mut to: TcpStream, way: Direction) {
        let mut buf = [0; CHUNK];
        while let Ok(read) = from.read(&mut buf) {
            if read == 0 || !self.wait(number, way) || to.write_all(&buf[..read]).is_err() {
                break;
            }
        }
        // Either end may have closed already.
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
        self.lock().open.retain(|(open, _)| *open != number);
    }

    /// Waits until bytes pass; `false` when the connection was reset meanwhile.
    fn wait(&self, number: u64, way: Direction) -> bool {
        loop {
            let state = self.lock();
            if !state.open.iter().any(|(open, _)| *open == number) {
                return false;
            }
            let silent = number <= state.silent_before;
            let weather = state.weather;
            drop(state);
            let held = match weather {
                Weather::Clear | Weather::Slow(_) => false,
                Weather::CutForth => way == Direction::Forth,
                Weather::CutBack => way == Direction::Back,
                Weather::Cut => true,
            };
            if !silent && !held {
                if let Weather::Slow(delay) = weather {
                    thread::sleep(delay);
                }
                return true;
            }
            thread::sleep(LOOK);
        }
    }
}
