//! SCRAM-SHA-256 (RFC 5802, RFC 7677), both sides, without channel binding.

use std::{fmt, str};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use hmac::Mac as _;
use sha2::Digest as _;

/// The mechanism's name in SASL messages.
pub const MECHANISM: &str = "SCRAM-SHA-256";

/// Iterations of a newly made verifier, as in PostgreSQL.
pub const ITERATIONS: u32 = 4_096;

/// Most iterations that a server may ask of us; a hostile one could otherwise
/// hold a proxy's only thread for minutes.
const MAX_ITERATIONS: u32 = 100_000;

const NONCE_LEN: usize = 18;
const KEY_LEN: usize = 32;

type HmacSha256 = hmac::Hmac<sha2::Sha256>;
type Hash = [u8; KEY_LEN];

/// Why an exchange fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ScramError {
    /// A message cannot be read.
    #[error("a SCRAM message is malformed")]
    Malformed,
    /// A verifier is not in PostgreSQL's form.
    #[error("the SCRAM verifier is malformed")]
    Verifier,
    /// The proof does not match: the password is wrong.
    #[error("the password does not match")]
    Password,
    /// The server could not prove that it knows the password.
    #[error("the server's signature does not match")]
    Server,
    /// The server asks for an unreasonable amount of work.
    #[error("the server asks for {0} iterations")]
    Iterations(u32),
}

/// What a server keeps of a password:
/// `SCRAM-SHA-256$ITERATIONS:SALT$STORED_KEY:SERVER_KEY`, as PostgreSQL writes it.
#[derive(Clone, PartialEq, Eq)]
pub struct Verifier {
    iterations: u32,
    salt: Vec<u8>,
    stored_key: Hash,
    server_key: Hash,
}

impl fmt::Debug for Verifier {
    /// Leaves the keys out: a verifier in a log would help to guess the password.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Verifier")
    }
}

impl Verifier {
    /// Derives a verifier from a password.
    pub fn derive(password: &str, salt: &[u8], iterations: u32) -> Self {
        let keys = Keys::derive(password, salt, iterations);
        Self {
            iterations,
            salt: salt.to_vec(),
            stored_key: sha256(&keys.client),
            server_key: keys.server,
        }
    }

    /// A verifier that no password matches, stable for a name.
    ///
    /// An unknown caller goes through the whole exchange with it, so that the
    /// answer does not tell which callers exist.
    pub fn decoy(secret: &[u8], name: &str) -> Self {
        let salt = hmac(secret, name.as_bytes());
        Self {
            iterations: ITERATIONS,
            salt: salt[..16].to_vec(),
            stored_key: hmac(secret, &salt),
            server_key: hmac(&salt, secret),
        }
    }
}

impl str::FromStr for Verifier {
    type Err = ScramError;

    fn from_str(text: &str) -> Result<Self, ScramError> {
        let mut parts = text.split('$');
        let mut next = || parts.next().ok_or(ScramError::Verifier);
        if next()? != MECHANISM {
            return Err(ScramError::Verifier);
        }
        let (iterations, salt) = next()?.split_once(':').ok_or(ScramError::Verifier)?;
        let (stored, server) = next()?.split_once(':').ok_or(ScramError::Verifier)?;
        Ok(Self {
            iterations: iterations.parse().map_err(|_| ScramError::Verifier)?,
            salt: BASE64.decode(salt).map_err(|_| ScramError::Verifier)?,
            stored_key: decode_key(stored)?,
            server_key: decode_key(server)?,
        })
    }
}

impl fmt::Display for Verifier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [salt, stored, server] =
            [&self.salt[..], &self.stored_key, &self.server_key].map(|part| BASE64.encode(part));
        write!(
            f,
            "{MECHANISM}${}:{salt}${stored}:{server}",
            self.iterations
        )
    }
}

fn decode_key(text: &str) -> Result<Hash, ScramError> {
    let raw = BASE64.decode(text).map_err(|_| ScramError::Verifier)?;
    raw.try_into().map_err(|_| ScramError::Verifier)
}

struct Keys {
    client: Hash,
    server: Hash,
}

impl Keys {
    fn derive(password: &str, salt: &[u8], iterations: u32) -> Self {
        let mut salted = [0; KEY_LEN];
        pbkdf2::pbkdf2_hmac::<sha2::Sha256>(password.as_bytes(), salt, iterations, &mut salted);
        Self {
            client: hmac(&salted, b"Client Key"),
            server: hmac(&salted, b"Server Key"),
        }
    }
}

/// The server's side after its first message.
#[derive(Debug)]
pub struct Server {
    verifier: Verifier,
    nonce: String,
    /// Channel-binding header that the client sent first and must repeat.
    header: String,
    /// Both first messages, joined as the proof covers them.
    transcript: String,
}

impl Server {
    /// Takes the client's first message; returns the state and the answer.
    pub fn first(verifier: Verifier, message: &[u8]) -> Result<(Self, String), ScramError> {
        let message = str::from_utf8(message).map_err(|_| ScramError::Malformed)?;
        let at = header_len(message).ok_or(ScramError::Malformed)?;
        let (header, bare) = message.split_at(at);
        let client_nonce = attribute(bare, 'r').ok_or(ScramError::Malformed)?;
        let nonce = format!("{client_nonce}{}", new_nonce());
        let salt = BASE64.encode(&verifier.salt);
        let answer = format!("r={nonce},s={salt},i={}", verifier.iterations);
        let server = Self {
            verifier,
            nonce,
            header: header.to_owned(),
            transcript: format!("{bare},{answer}"),
        };
        Ok((server, answer))
    }

    /// Takes the client's proof; returns the answer that proves the server's knowledge.
    pub fn finish(self, message: &[u8]) -> Result<String, ScramError> {
        let message = str::from_utf8(message).map_err(|_| ScramError::Malformed)?;
        let (bare, proof) = message.rsplit_once(",p=").ok_or(ScramError::Malformed)?;
        let header = attribute(bare, 'c').ok_or(ScramError::Malformed)?;
        if header != BASE64.encode(&self.header) || attribute(bare, 'r') != Some(&self.nonce) {
            return Err(ScramError::Malformed);
        }
        let proof = BASE64.decode(proof).map_err(|_| ScramError::Malformed)?;
        let proof: Hash = proof.try_into().map_err(|_| ScramError::Malformed)?;
        let transcript = format!("{},{bare}", self.transcript);
        let signature = hmac(&self.verifier.stored_key, transcript.as_bytes());
        let client_key = xor(proof, &signature);
        if sha256(&client_key) != self.verifier.stored_key {
            return Err(ScramError::Password);
        }
        let server = hmac(&self.verifier.server_key, transcript.as_bytes());
        Ok(format!("v={}", BASE64.encode(server)))
    }
}

/// The client's side.
#[derive(Debug)]
pub struct Client {
    nonce: String,
    /// Signature that the server has to show at the end.
    expected: Option<Hash>,
}

impl Client {
    /// Begins an exchange.
    #[expect(clippy::new_without_default, reason = "it draws a random nonce")]
    pub fn new() -> Self {
        Self {
            nonce: new_nonce(),
            expected: None,
        }
    }

    /// The first message.
    pub fn first(&self) -> String {
        format!("n,,n=,r={}", self.nonce)
    }

    /// Takes the server's first message; returns the proof.
    pub fn answer(&mut self, password: &str, message: &[u8]) -> Result<String, ScramError> {
        let message = str::from_utf8(message).map_err(|_| ScramError::Malformed)?;
        let get = |name| attribute(message, name).ok_or(ScramError::Malformed);
        let (nonce, salt, iterations) = (get('r')?, get('s')?, get('i')?);
        if !nonce.starts_with(&self.nonce) {
            return Err(ScramError::Malformed);
        }
        let salt = BASE64.decode(salt).map_err(|_| ScramError::Malformed)?;
        let iterations = iterations.parse().map_err(|_| ScramError::Malformed)?;
        if iterations > MAX_ITERATIONS {
            return Err(ScramError::Iterations(iterations));
        }
        let keys = Keys::derive(password, &salt, iterations);
        let bare = format!("c=biws,r={nonce}");
        let transcript = format!("n=,r={},{message},{bare}", self.nonce);
        let signature = hmac(&sha256(&keys.client), transcript.as_bytes());
        let proof = xor(keys.client, &signature);
        self.expected = Some(hmac(&keys.server, transcript.as_bytes()));
        Ok(format!("{bare},p={}", BASE64.encode(proof)))
    }

    /// Checks the server's last message.
    pub fn verify(&self, message: &[u8]) -> Result<(), ScramError> {
        let message = str::from_utf8(message).map_err(|_| ScramError::Malformed)?;
        let signature = attribute(message, 'v').ok_or(ScramError::Malformed)?;
        match self.expected.map(|e| BASE64.encode(e)) {
            Some(expected) if expected == signature => Ok(()),
            _ => Err(ScramError::Server),
        }
    }
}

/// Length of the channel-binding header, such as `n,,`; binding itself is not offered.
fn header_len(message: &str) -> Option<usize> {
    let rest = message
        .strip_prefix("n,")
        .or_else(|| message.strip_prefix("y,"))?;
    Some(2 + rest.find(',')? + 1)
}

fn attribute(message: &str, name: char) -> Option<&str> {
    message
        .split(',')
        .find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
}

fn new_nonce() -> String {
    BASE64.encode(rand::random::<[u8; NONCE_LEN]>())
}

fn hmac(key: &[u8], data: &[u8]) -> Hash {
    let mut mac = HmacSha256::new_from_slice(key).expect("HMAC takes a key of any length");
    mac.update(data);
    mac.finalize().into_bytes().into()
}

fn sha256(data: &[u8]) -> Hash {
    sha2::Sha256::digest(data).into()
}

fn xor(mut a: Hash, b: &Hash) -> Hash {
    a.iter_mut().zip(b).for_each(|(a, b)| *a ^= b);
    a
}
