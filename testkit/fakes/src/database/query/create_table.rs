//! CREATE TABLE.

use sqlparser::ast::{ColumnOption, TableConstraint};

use super::super::describe::position;
use super::super::expr::named;
use super::super::storage::{Column, Table};
use super::super::{Refusal, lock};
use super::{Outcome, Run, done};

impl Run<'_> {
    pub(super) fn create(
        &mut self,
        create: &sqlparser::ast::CreateTable,
    ) -> Result<Outcome, Refusal> {
        let mut store = lock(self.store);
        let name = self
            .around
            .new_table(&create.name.to_string(), create.temporary);
        if store.has(&name) {
            if create.if_not_exists {
                return Ok(done("CREATE TABLE"));
            }
            return Err(Refusal(
                "42P07",
                format!("relation \"{}\" already exists", create.name),
            ));
        }
        let mut table = Table::default();
        for column in &create.columns {
            let kind = named(&column.data_type)?;
            let mut made = Column {
                name: column.name.value.clone(),
                kind,
                not_null: false,
                default: None,
                serial: column
                    .data_type
                    .to_string()
                    .to_ascii_lowercase()
                    .contains("serial"),
            };
            for option in &column.options {
                match &option.option {
                    ColumnOption::NotNull => made.not_null = true,
                    ColumnOption::Default(expr) => made.default = Some(expr.to_string()),
                    ColumnOption::Unique { is_primary, .. } => {
                        made.not_null |= is_primary;
                        let end = if *is_primary {
                            "pkey".to_owned()
                        } else {
                            format!("{}_key", made.name)
                        };
                        table.unique =
                            Some((table.columns.len(), format!("{}_{end}", create.name)));
                    }
                    ColumnOption::Generated { .. } => made.serial = true,
                    _ => {}
                }
            }
            table.columns.push(made);
        }
        for constraint in &create.constraints {
            if let TableConstraint::PrimaryKey { columns, .. } = constraint
                && let [column] = &columns[..]
            {
                let at = position(&column.to_string(), &table.columns)?;
                table.columns[at].not_null = true;
                table.unique = Some((at, format!("{}_pkey", create.name)));
            }
        }
        store.create(self.transaction, name, table);
        Ok(done("CREATE TABLE"))
    }
}
