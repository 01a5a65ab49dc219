//! Statements that the proxy answers itself: its own settings, and the session's.

use pg::classify::{ALL, Control, PREFIX};
use pg::marks::Marks;
use pg::report::{self, Report};

use super::session::{Session, TOKEN};
use crate::cx::Cx;

/// What a local statement answers.
pub(super) enum Answer {
    /// It is done.
    Done(&'static str),
    /// It shows a value under a name.
    Value(String, String),
}

/// Name of the column that a statement shows, if it shows one.
pub(super) fn column(control: &Control) -> Option<String> {
    match control {
        Control::Show { name } => Some(format!("{PREFIX}{name}")),
        _ => None,
    }
}

/// Runs a local statement on the session.
pub(super) fn run(control: &Control, session: &mut Session, cx: &Cx) -> Result<Answer, Report> {
    match control {
        Control::Set { name, value } => {
            set(name, value.as_deref(), session, cx)?;
            Ok(Answer::Done("SET"))
        }
        Control::Show { name } => {
            let value = show(name, session, cx).ok_or_else(|| unknown(name))?;
            Ok(Answer::Value(format!("{PREFIX}{name}"), value))
        }
        Control::Discard => {
            reset(session);
            session.prepared.clear();
            Ok(Answer::Done("DISCARD ALL"))
        }
        _ => Ok(Answer::Done("")),
    }
}

fn reset(session: &mut Session) {
    session.vars.clear();
    session.marks = Marks::default();
}

fn set(name: &str, value: Option<&str>, session: &mut Session, cx: &Cx) -> Result<(), Report> {
    let Some(own) = name.strip_prefix(PREFIX) else {
        match value {
            Some(value) => {
                session.vars.insert(name.to_owned(), value.to_owned());
            }
            None if name == ALL => reset(session),
            None => {
                session.vars.shift_remove(name);
            }
        }
        return Ok(());
    };
    let value = value.unwrap_or_default();
    if name == TOKEN {
        let presented = session.present(value, &cx.key);
        return presented.map_err(|e| Report::error(report::BAD_VALUE, e.to_string()));
    }
    match session.marks.set(own, value) {
        Ok(true) => Ok(()),
        Ok(false) => Err(unknown(own)),
        Err(e) => Err(Report::error(report::BAD_VALUE, e.to_string())),
    }
}

fn show(name: &str, session: &Session, cx: &Cx) -> Option<String> {
    match name {
        "session" => Some(session.encode(&cx.key)),
        "proxy" => Some(cx.me.to_string()),
        "group" => Some(session.group.to_string()),
        _ => session.marks.get(name),
    }
}

fn unknown(name: &str) -> Report {
    let text = format!("unrecognized setting {PREFIX}{name}");
    Report::error(report::UNKNOWN_SETTING, text)
}
