//! Search of a parsed statement for whatever is not known to only read.

use std::ops::ControlFlow;

use sqlparser::ast;

use crate::functions;

/// Looks through a statement for anything that is not known to only read.
#[derive(Default)]
pub(crate) struct Scan {
    /// Whether it may write, or call what may.
    pub(crate) writes: bool,
    /// Whether it leaves something behind on its connection.
    pub(crate) taints: bool,
    /// Whether it makes a temporary table.
    pub(crate) temporary: bool,
}

impl Scan {
    fn call(&mut self, name: &ast::ObjectName) {
        let name = known_name(name);
        let name = name.as_deref().unwrap_or_default();
        self.writes |= !functions::is_read_only(name);
        self.taints |= functions::is_session(name);
    }
}

/// The function's name if it can only be one of the system's: unqualified or in `pg_catalog`.
fn known_name(name: &ast::ObjectName) -> Option<String> {
    let parts: Option<Vec<_>> = name.0.iter().map(ast::ObjectNamePart::as_ident).collect();
    let ident = match parts?[..] {
        [ident] => ident,
        [schema, ident] if schema.value.eq_ignore_ascii_case("pg_catalog") => ident,
        _ => return None,
    };
    match ident.quote_style {
        Some(_) => Some(ident.value.clone()),
        None => Some(ident.value.to_ascii_lowercase()),
    }
}

impl ast::Visitor for Scan {
    type Break = ();

    fn pre_visit_query(&mut self, query: &ast::Query) -> ControlFlow<()> {
        // FOR UPDATE takes locks, which only a primary can.
        self.writes |= !query.locks.is_empty() || !reads(&query.body);
        ControlFlow::Continue(())
    }

    fn pre_visit_select(&mut self, select: &ast::Select) -> ControlFlow<()> {
        self.writes |= select.into.is_some();
        self.temporary |= select.into.as_ref().is_some_and(|i| i.temporary);
        ControlFlow::Continue(())
    }

    fn pre_visit_statement(&mut self, statement: &ast::Statement) -> ControlFlow<()> {
        let known = matches!(
            statement,
            ast::Statement::Query(_) | ast::Statement::Explain { .. }
        );
        self.writes |= !known;
        ControlFlow::Continue(())
    }

    fn pre_visit_table_factor(&mut self, factor: &ast::TableFactor) -> ControlFlow<()> {
        match factor {
            ast::TableFactor::Table {
                name,
                args: Some(_),
                ..
            }
            | ast::TableFactor::Function { name, .. } => self.call(name),
            ast::TableFactor::TableFunction { .. } => self.writes = true,
            _ => {}
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expr: &ast::Expr) -> ControlFlow<()> {
        match expr {
            ast::Expr::Function(f) => self.call(&f.name),
            // An operator of the database's own may call any function.
            ast::Expr::BinaryOp { op, .. } => {
                let custom = matches!(
                    op,
                    ast::BinaryOperator::Custom(_) | ast::BinaryOperator::PGCustomBinaryOperator(_)
                );
                self.writes |= custom;
            }
            _ => {}
        }
        ControlFlow::Continue(())
    }
}

/// Whether a query's body holds no statement that writes.
fn reads(body: &ast::SetExpr) -> bool {
    use ast::SetExpr as E;
    match body {
        E::Select(_) | E::Values(_) | E::Table(_) => true,
        E::Query(query) => reads(&query.body),
        E::SetOperation { left, right, .. } => reads(left) && reads(right),
        E::Insert(_) | E::Update(_) | E::Delete(_) | E::Merge(_) => false,
    }
}
