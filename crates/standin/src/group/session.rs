//! One connection's PostgreSQL session.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use bytes::BytesMut;
use compio::net::TcpStream;
use indexmap::IndexMap;
use pgwire::messages::PgWireFrontendMessage as Front;
use pgwire::messages::extendedquery as ext;
use pgwire::messages::response::{self, TransactionStatus};
use pgwire::messages::{DecodeContext, PgWireBackendMessage as Back};
use pgwire::messages::{data, simplequery};
use rusqlite::types::Value;

use super::database::{Column, Output};
use super::encode;
use super::execute::{Executor, Prepared};
use super::sql::{self, SqlError};
use super::start;
use super::wire::{Origin, Wire};

const FLUSH_AT: usize = 64 << 10;

/// First byte of a `Sync` message.
const SYNC: u8 = b'S';

struct Portal {
    prepared: Rc<Prepared>,
    values: Vec<Value>,
    formats: Vec<i16>,
    /// Rows still to be fetched, once it has run.
    output: Option<Output>,
}

struct Session {
    executor: Executor,
    prepared: IndexMap<String, Rc<Prepared>>,
    portals: IndexMap<String, Portal>,
    /// After an error in an extended query, until the next `Sync`.
    skipping: bool,
    out: BytesMut,
    wire: Wire,
}

pub(super) fn put(out: &mut BytesMut, message: &Back) {
    message
        .encode(out)
        .expect("our own messages fit the protocol");
}

pub(super) fn error(e: &SqlError) -> Back {
    let fields = vec![
        (b'S', "ERROR".to_owned()),
        (b'V', "ERROR".to_owned()),
        (b'C', e.code.to_owned()),
        (b'M', e.message.clone()),
    ];
    Back::ErrorResponse(response::ErrorResponse::new(fields))
}

/// Serves a connection to its end; `open` counts those that have started up.
pub(crate) async fn run(
    origin: Origin,
    stream: TcpStream,
    open: &Rc<Cell<usize>>,
) -> io::Result<()> {
    let server = Rc::clone(&origin.server);
    let key = i32::try_from(origin.number).unwrap_or(i32::MAX);
    let mut wire = Wire::new(origin, stream);
    let Some(opened) = start::open(&mut wire, &server, key, open).await? else {
        return Ok(());
    };
    let mut session = Session {
        executor: Executor::new(server, key),
        prepared: IndexMap::new(),
        portals: IndexMap::new(),
        skipping: false,
        out: BytesMut::new(),
        wire,
    };
    let start::Opened { place, mut buf, cx } = opened;
    let ended = session.serve(&mut buf, &cx).await;
    drop(place);
    ended
}

pub(super) fn ready(status: TransactionStatus) -> Back {
    Back::ReadyForQuery(response::ReadyForQuery::new(status))
}

fn describe(columns: &[Column], formats: &[i16]) -> Back {
    if columns.is_empty() {
        return Back::NoData(data::NoData::new());
    }
    let fields = columns
        .iter()
        .enumerate()
        .map(|(at, column)| {
            let format = encode::format_at(formats, at);
            data::FieldDescription::new(column.name.clone(), 0, 0, column.oid, -1, -1, format)
        })
        .collect();
    Back::RowDescription(data::RowDescription::new(fields))
}

impl Session {
    async fn serve(&mut self, buf: &mut BytesMut, cx: &DecodeContext) -> io::Result<()> {
        loop {
            let message = Front::decode(buf, cx).map_err(io::Error::other)?;
            let Some(message) = message else {
                if !self.out.is_empty() {
                    self.wire.write(&mut self.out).await?;
                }
                if !self.wire.read(buf).await? {
                    return Ok(());
                }
                continue;
            };
            if matches!(message, Front::Terminate(_)) {
                return Ok(());
            }
            self.executor.server.running().await;
            let last = buf.first() == Some(&SYNC);
            self.handle(message, last).await?;
        }
    }

    fn put(&mut self, message: &Back) {
        put(&mut self.out, message);
    }

    /// Handles one message; `last` tells that a `Sync` follows it at once.
    async fn handle(&mut self, message: Front, last: bool) -> io::Result<()> {
        match message {
            Front::Query(query) => return self.query(&query).await,
            Front::Sync(_) => {
                if let Err(e) = self.executor.end_implicit(!self.skipping) {
                    self.put(&error(&e));
                }
                self.skipping = false;
                let status = self.executor.transaction_status();
                self.put(&ready(status));
            }
            _ if self.skipping => {}
            other => {
                // Statements up to a `Sync` commit together, as PostgreSQL has it;
                // a single one commits by itself, which is cheaper here.
                if matches!(other, Front::Execute(_)) && !last {
                    self.executor.begin_implicit();
                }
                if let Err(e) = self.extended(other).await? {
                    self.executor.fail();
                    self.put(&error(&e));
                    self.skipping = true;
                }
            }
        }
        Ok(())
    }

    async fn query(&mut self, query: &simplequery::Query) -> io::Result<()> {
        let statements = sql::split(&query.query);
        if statements.is_empty() {
            self.put(&Back::EmptyQueryResponse(
                response::EmptyQueryResponse::new(),
            ));
        }
        let implicit = statements.len() > 1 && self.executor.begin_implicit();
        let mut failed = false;
        for text in &statements {
            if let Err(e) = self.simple(text).await? {
                self.executor.fail();
                self.put(&error(&e));
                failed = true;
                break;
            }
        }
        if implicit && let Err(e) = self.executor.end_implicit(!failed) {
            self.put(&error(&e));
        }
        let status = self.executor.transaction_status();
        self.put(&ready(status));
        Ok(())
    }

    async fn simple(&mut self, text: &str) -> io::Result<Result<(), SqlError>> {
        let prepared = match self.executor.prepare(text, &[]) {
            Ok(prepared) => prepared,
            Err(e) => return Ok(Err(e)),
        };
        let output = match self.executor.run(&prepared, Vec::new()).await {
            Ok(output) => output,
            Err(e) => return Ok(Err(e)),
        };
        if !prepared.columns.is_empty() {
            self.put(&describe(&prepared.columns, &[]));
        }
        self.rows(&prepared, &output, &[]).await?;
        Ok(Ok(()))
    }

    async fn data(
        &mut self,
        prepared: &Prepared,
        rows: &[Vec<Value>],
        formats: &[i16],
    ) -> io::Result<()> {
        let oids: Vec<u32> = prepared.columns.iter().map(|c| c.oid).collect();
        for row in rows {
            self.put(&Back::DataRow(encode::row(row, &oids, formats)));
            if self.out.len() >= FLUSH_AT {
                self.wire.write(&mut self.out).await?;
            }
        }
        Ok(())
    }

    async fn rows(
        &mut self,
        prepared: &Prepared,
        output: &Output,
        formats: &[i16],
    ) -> io::Result<()> {
        self.data(prepared, &output.rows, formats).await?;
        let tag = prepared.tag(output);
        self.put(&Back::CommandComplete(response::CommandComplete::new(tag)));
        Ok(())
    }

    async fn extended(&mut self, message: Front) -> io::Result<Result<(), SqlError>> {
        let result = match message {
            Front::Parse(parse) => self.parse(parse),
            Front::Bind(bind) => self.bind(bind),
            Front::Describe(d) => self.describe(&d),
            Front::Execute(execute) => return self.execute(&execute).await,
            Front::Close(close) => {
                let name = close.name.unwrap_or_default();
                if close.target_type == b'S' {
                    self.prepared.shift_remove(&name);
                } else {
                    self.portals.shift_remove(&name);
                }
                self.put(&Back::CloseComplete(ext::CloseComplete::new()));
                Ok(())
            }
            Front::Flush(_) => {
                self.wire.write(&mut self.out).await?;
                Ok(())
            }
            _ => Err(SqlError::new("08P01", "unexpected message")),
        };
        Ok(result)
    }

    fn parse(&mut self, parse: ext::Parse) -> Result<(), SqlError> {
        let prepared = self.executor.prepare(&parse.query, &parse.type_oids)?;
        self.prepared
            .insert(parse.name.unwrap_or_default(), Rc::new(prepared));
        self.put(&Back::ParseComplete(ext::ParseComplete::new()));
        Ok(())
    }

    fn statement(&self, name: &str) -> Result<Rc<Prepared>, SqlError> {
        let missing = || SqlError::new("26000", "prepared statement does not exist");
        self.prepared.get(name).cloned().ok_or_else(missing)
    }

    fn portal(&self, name: &str) -> Result<&Portal, SqlError> {
        let missing = || SqlError::new("34000", "portal does not exist");
        self.portals.get(name).ok_or_else(missing)
    }

    fn bind(&mut self, bind: ext::Bind) -> Result<(), SqlError> {
        let prepared = self.statement(bind.statement_name.as_deref().unwrap_or_default())?;
        if bind.parameters.len() != prepared.parameters.len() {
            return Err(SqlError::new("08P01", "wrong number of parameters"));
        }
        let mut values = Vec::with_capacity(bind.parameters.len());
        for (at, raw) in bind.parameters.iter().enumerate() {
            let format = encode::format_at(&bind.parameter_format_codes, at);
            values.push(encode::decode(
                raw.as_ref(),
                prepared.parameters[at],
                format,
            )?);
        }
        let formats = bind.result_column_format_codes;
        let portal = Portal {
            prepared,
            values,
            formats,
            output: None,
        };
        self.portals
            .insert(bind.portal_name.unwrap_or_default(), portal);
        self.put(&Back::BindComplete(ext::BindComplete::new()));
        Ok(())
    }

    fn describe(&mut self, d: &ext::Describe) -> Result<(), SqlError> {
        let name = d.name.as_deref().unwrap_or_default();
        if d.target_type == b'S' {
            let prepared = self.statement(name)?;
            let types = data::ParameterDescription::new(prepared.parameters.clone());
            self.put(&Back::ParameterDescription(types));
            self.put(&describe(&prepared.columns, &[]));
        } else {
            let portal = self.portal(name)?;
            let message = describe(&portal.prepared.columns, &portal.formats);
            self.put(&message);
        }
        Ok(())
    }

    async fn execute(&mut self, execute: &ext::Execute) -> io::Result<Result<(), SqlError>> {
        let name = execute.name.clone().unwrap_or_default();
        let portal = match self.portal(&name) {
            Ok(portal) => portal,
            Err(e) => return Ok(Err(e)),
        };
        let (prepared, formats) = (Rc::clone(&portal.prepared), portal.formats.clone());
        if prepared.kind == sql::Kind::Empty {
            self.put(&Back::EmptyQueryResponse(
                response::EmptyQueryResponse::new(),
            ));
            return Ok(Ok(()));
        }
        let output = match &portal.output {
            Some(output) => output.clone(),
            None => match self.executor.run(&prepared, portal.values.clone()).await {
                Ok(output) => output,
                Err(e) => return Ok(Err(e)),
            },
        };
        let limit = usize::try_from(execute.max_rows).unwrap_or(0);
        if limit == 0 || output.rows.len() <= limit {
            self.rows(&prepared, &output, &formats).await?;
            return Ok(Ok(()));
        }
        let mut rest = output;
        let later = rest.rows.split_off(limit);
        self.data(&prepared, &rest.rows, &formats).await?;
        self.put(&Back::PortalSuspended(ext::PortalSuspended::new()));
        if let Some(portal) = self.portals.get_mut(&name) {
            portal.output = Some(Output {
                rows: later,
                ..rest
            });
        }
        Ok(Ok(()))
    }
}
