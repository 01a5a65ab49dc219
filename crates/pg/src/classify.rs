//! Classification of statements: what is not known to only read is a write.

use std::rc::Rc;

use indexmap::IndexMap;
use sqlparser::ast::{self, Visit as _};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

use crate::scan::Scan;

/// Prefix of the settings that the proxy keeps itself.
pub const PREFIX: &str = "pomelo.";

/// Name that stands for every setting, in `RESET ALL`.
pub const ALL: &str = "all";

/// Settings that are sent again to every connection that serves the session.
///
/// Others are refused: one that changes how strings are quoted would undo the
/// classification, and most are a mistake on shared connections.
const TRACKED: &[&str] = &[
    "application_name",
    "bytea_output",
    "client_min_messages",
    "datestyle",
    "extra_float_digits",
    "intervalstyle",
    "lock_timeout",
    "search_path",
    "statement_timeout",
    "timezone",
];

/// What a request does to the data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Effect {
    /// It is known to only read.
    Read,
    /// It writes, or may write.
    Write,
}

/// What a request does to the session or to its transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Control {
    /// Nothing beyond its own statement.
    Plain,
    /// It holds no statement at all.
    Empty,
    /// It begins a transaction.
    Begin {
        /// Whether the transaction is declared read-only.
        read_only: bool,
    },
    /// It may end the transaction: `COMMIT` and `ROLLBACK`, which alone count as reads,
    /// or several statements at once.
    End,
    /// It sets a setting of the session; `None` resets it.
    Set {
        /// Name in lower case.
        name: String,
        /// Value as plain text.
        value: Option<String>,
    },
    /// It shows one of the proxy's own settings.
    Show {
        /// Name in lower case, without [`PREFIX`].
        name: String,
    },
    /// It returns the session to its beginnings.
    Discard,
    /// It cannot run on a shared connection.
    Refused(Refusal),
}

/// Why a statement cannot run on a shared connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// Notifications belong to a connection, not to a session.
    #[error("LISTEN is not supported: connections are shared between sessions")]
    Listen,
    /// Copying in cannot be cut at a message that the proxy understands.
    #[error("COPY FROM STDIN is not supported: use INSERT")]
    CopyIn,
    /// Prepared statements of SQL belong to a connection.
    #[error("PREPARE is not supported in SQL: use the protocol's prepared statements")]
    Prepare,
    /// The setting is not one of those that are carried between connections.
    #[error("this setting cannot be changed for a session: use SET LOCAL in a transaction")]
    Setting,
    /// A cursor that outlives its transaction belongs to a connection.
    #[error("cursors WITH HOLD are not supported: connections are shared between sessions")]
    HeldCursor,
    /// Temporary tables belong to a connection.
    #[error("temporary tables are not supported: connections are shared between sessions")]
    Temporary,
    /// The proxy's own settings cannot be mixed with other statements.
    #[error("a pomelo setting must be the only statement of its request")]
    NotAlone,
}

/// What is known about a request's text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// Effect on the data.
    pub effect: Effect,
    /// Effect on session and transaction.
    pub control: Control,
    /// Whether it may leave something behind on the connection.
    pub taints: bool,
}

impl Statement {
    const fn new(effect: Effect, control: Control) -> Self {
        Self {
            effect,
            control,
            taints: false,
        }
    }
}

/// Classifies a text of one or more statements.
pub fn classify(sql: &str) -> Statement {
    // A text that the parser does not know may hold anything, also the end of a transaction.
    let Ok(list) = Parser::parse_sql(&PostgreSqlDialect {}, sql) else {
        return unparsed(sql);
    };
    let mut parts = list.iter().map(one);
    match list.len() {
        0 => Statement::new(Effect::Read, Control::Empty),
        1 => parts.next().expect("the list holds one statement"),
        _ => several(&parts.collect::<Vec<_>>()),
    }
}

/// Text that the parser does not understand: a write, refused if its first word
/// shows a command that must not reach a shared connection.
fn unparsed(sql: &str) -> Statement {
    let upper = sql.trim_start().to_ascii_uppercase();
    let refusal = match upper.split_whitespace().next() {
        Some("LISTEN" | "UNLISTEN") => Some(Refusal::Listen),
        Some("PREPARE" | "EXECUTE" | "DEALLOCATE") => Some(Refusal::Prepare),
        Some("COPY") if upper.contains("STDIN") => Some(Refusal::CopyIn),
        Some("SET" | "RESET") => Some(Refusal::Setting),
        Some("DECLARE") if upper.contains("WITH HOLD") => Some(Refusal::HeldCursor),
        _ => None,
    };
    let control = refusal.map_or(Control::End, Control::Refused);
    Statement {
        taints: true,
        ..Statement::new(Effect::Write, control)
    }
}

fn several(parts: &[Statement]) -> Statement {
    let plain = |s: &Statement| matches!(s.control, Control::Plain | Control::Empty);
    let control = parts.iter().find_map(|s| match s.control {
        Control::Refused(why) => Some(Control::Refused(why)),
        Control::Set { .. } | Control::Show { .. } | Control::Discard => {
            Some(Control::Refused(Refusal::NotAlone))
        }
        _ => None,
    });
    let all_read = parts.iter().all(|s| s.effect == Effect::Read && plain(s));
    let effect = if all_read {
        Effect::Read
    } else {
        Effect::Write
    };
    let end = if all_read {
        Control::Plain
    } else {
        Control::End
    };
    Statement {
        taints: parts.iter().any(|s| s.taints),
        ..Statement::new(effect, control.unwrap_or(end))
    }
}

fn one(statement: &ast::Statement) -> Statement {
    use ast::Statement as S;
    let refused = |why| Statement::new(Effect::Write, Control::Refused(why));
    match statement {
        S::Query(_) => plain(statement),
        S::Explain { analyze, .. } if !analyze => plain(statement),
        S::StartTransaction {
            modes, statements, ..
        } if statements.is_empty() => Statement::new(
            Effect::Read,
            Control::Begin {
                read_only: read_only(modes),
            },
        ),
        S::Commit { .. }
        | S::Rollback {
            savepoint: None, ..
        } => Statement::new(Effect::Read, Control::End),
        S::Set(set) => self::set(set),
        S::Reset(reset) => self::reset(reset),
        S::ShowVariable { variable } => show(variable),
        S::Discard { .. } => Statement::new(Effect::Read, Control::Discard),
        S::LISTEN { .. } | S::UNLISTEN { .. } => refused(Refusal::Listen),
        S::Prepare { .. } | S::Execute { .. } | S::Deallocate { .. } => refused(Refusal::Prepare),
        S::Copy {
            to: false,
            target: ast::CopyTarget::Stdin,
            ..
        } => refused(Refusal::CopyIn),
        S::CreateTable(t) if t.temporary => refused(Refusal::Temporary),
        S::Declare { stmts, .. } if stmts.iter().any(|d| d.hold == Some(true)) => {
            refused(Refusal::HeldCursor)
        }
        _ => Statement {
            effect: Effect::Write,
            ..plain(statement)
        },
    }
}

fn plain(statement: &ast::Statement) -> Statement {
    let mut scan = Scan::default();
    let _ = statement.visit(&mut scan);
    let effect = if scan.writes {
        Effect::Write
    } else {
        Effect::Read
    };
    if scan.temporary {
        return Statement::new(Effect::Write, Control::Refused(Refusal::Temporary));
    }
    Statement {
        taints: scan.taints,
        ..Statement::new(effect, Control::Plain)
    }
}

fn read_only(modes: &[ast::TransactionMode]) -> bool {
    let wanted = ast::TransactionMode::AccessMode(ast::TransactionAccessMode::ReadOnly);
    modes.contains(&wanted)
}

fn set(set: &ast::Set) -> Statement {
    let (scope, name, value) = match set {
        ast::Set::SingleAssignment {
            scope,
            variable,
            values,
            ..
        } => (*scope, variable.to_string(), list_text(values)),
        ast::Set::SetTimeZone { local, value } => {
            let scope = local.then_some(ast::ContextModifier::Local);
            (scope, "timezone".to_owned(), Some(value_text(value)))
        }
        ast::Set::SetTransaction { .. } => return Statement::new(Effect::Write, Control::Plain),
        _ => return Statement::new(Effect::Write, Control::Refused(Refusal::Setting)),
    };
    if scope == Some(ast::ContextModifier::Local) {
        return Statement::new(Effect::Write, Control::Plain);
    }
    setting(&name, value)
}

fn reset(reset: &ast::ResetStatement) -> Statement {
    match &reset.reset {
        ast::Reset::ALL => {
            let name = ALL.to_owned();
            Statement::new(Effect::Read, Control::Set { name, value: None })
        }
        ast::Reset::ConfigurationParameter(name) => setting(&name.to_string(), None),
        ast::Reset::SessionAuthorization => {
            Statement::new(Effect::Write, Control::Refused(Refusal::Setting))
        }
    }
}

fn setting(name: &str, value: Option<String>) -> Statement {
    let name = name.to_ascii_lowercase().replace('"', "");
    let ours = name.starts_with(PREFIX) || TRACKED.contains(&name.as_str());
    let utf8 = name == "client_encoding"
        && value
            .as_deref()
            .is_none_or(|v| matches!(v.to_ascii_lowercase().as_str(), "utf8" | "utf-8"));
    if ours || utf8 {
        return Statement::new(Effect::Read, Control::Set { name, value });
    }
    Statement::new(Effect::Write, Control::Refused(Refusal::Setting))
}

fn list_text(values: &[ast::Expr]) -> Option<String> {
    let texts: Vec<_> = values.iter().map(value_text).collect();
    match texts.join(", ") {
        text if text.eq_ignore_ascii_case("default") => None,
        text => Some(text),
    }
}

fn value_text(value: &ast::Expr) -> String {
    match value {
        ast::Expr::Value(v) => match v.value.clone().into_string() {
            Some(text) => text,
            None => value.to_string(),
        },
        ast::Expr::Identifier(ident) => ident.value.clone(),
        _ => value.to_string(),
    }
}

fn show(variable: &[ast::Ident]) -> Statement {
    let parts: Vec<_> = variable.iter().map(|i| i.value.clone()).collect();
    let name = parts.join(".").to_ascii_lowercase();
    match name.strip_prefix(PREFIX) {
        Some(own) => Statement::new(
            Effect::Read,
            Control::Show {
                name: own.to_owned(),
            },
        ),
        None => Statement::new(Effect::Read, Control::Plain),
    }
}

/// Classifications of recent texts, so that repeated statements are parsed once.
#[derive(Debug, Default)]
pub struct Cache {
    known: IndexMap<Box<str>, Rc<Statement>>,
}

/// Texts that the cache keeps; with [`MAX_TEXT`] it bounds the memory at 4 MB.
const MAX_TEXTS: usize = 2_000;
/// Longest text that the cache keeps; longer ones rarely repeat.
const MAX_TEXT: usize = 2 << 10;

impl Cache {
    /// Classifies `sql`, from memory if it is known.
    pub fn classify(&mut self, sql: &str) -> Rc<Statement> {
        if let Some(known) = self.known.get(sql) {
            return known.clone();
        }
        let found = Rc::new(classify(sql));
        if sql.len() <= MAX_TEXT {
            // Texts with literals in them never repeat; starting over now and
            // then is cheaper than keeping an order of use for each hit.
            if self.known.len() >= MAX_TEXTS {
                self.known.clear();
            }
            self.known.insert(sql.into(), found.clone());
        }
        found
    }
}
