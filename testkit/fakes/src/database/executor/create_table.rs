//! CREATE TABLE.

use sqlparser::ast::{ColumnDef, ColumnOption, CreateTable, TableConstraint};

use super::Executor;
use crate::database::error::{SqlError, SqlState};
use crate::database::expression::resolve_type;
use crate::database::references::column_position;
use crate::database::result::StatementResult;
use crate::database::storage::{Column, Table, UniqueConstraint};
use crate::database::sync::lock;

impl Executor<'_> {
    pub(super) fn create_table(
        &mut self,
        create: &CreateTable,
    ) -> Result<StatementResult, SqlError> {
        let mut store = lock(self.store);
        let name = self
            .context
            .new_table_name(&create.name.to_string(), create.temporary);
        if store.has_table(&name) {
            if create.if_not_exists {
                return Ok(StatementResult::command("CREATE TABLE"));
            }
            return Err(SqlError::new(
                SqlState::DUPLICATE_TABLE,
                format!("relation \"{}\" already exists", create.name),
            ));
        }
        store.create_table(self.transaction, name, define_table(create)?);
        Ok(StatementResult::command("CREATE TABLE"))
    }
}

fn define_table(create: &CreateTable) -> Result<Table, SqlError> {
    let mut table = Table::default();
    for definition in &create.columns {
        define_column(create, definition, &mut table)?;
    }
    for constraint in &create.constraints {
        if let TableConstraint::PrimaryKey { columns, .. } = constraint
            && let [column] = &columns[..]
        {
            let position = column_position(&column.to_string(), &table.columns)?;
            table.columns[position].not_null = true;
            table.unique = Some(primary_key_constraint(create, position));
        }
    }
    Ok(table)
}

/// Adds a column to the table, with its UNIQUE or PRIMARY KEY constraint if the definition has one.
fn define_column(
    create: &CreateTable,
    definition: &ColumnDef,
    table: &mut Table,
) -> Result<(), SqlError> {
    let type_name = definition.data_type.to_string().to_ascii_lowercase();
    let mut column = Column {
        name: definition.name.value.clone(),
        data_type: resolve_type(&definition.data_type)?,
        not_null: false,
        default: None,
        is_serial: type_name.contains("serial"),
    };
    let position = table.columns.len();
    for option in &definition.options {
        match &option.option {
            ColumnOption::NotNull => column.not_null = true,
            ColumnOption::Default(expr) => column.default = Some(expr.to_string()),
            ColumnOption::Unique {
                is_primary: true, ..
            } => {
                column.not_null = true;
                table.unique = Some(primary_key_constraint(create, position));
            }
            ColumnOption::Unique { .. } => {
                table.unique = Some(UniqueConstraint {
                    column: position,
                    name: format!("{}_{}_key", create.name, column.name),
                });
            }
            ColumnOption::Generated { .. } => column.is_serial = true,
            _ => {}
        }
    }
    table.columns.push(column);
    Ok(())
}

fn primary_key_constraint(create: &CreateTable, column: usize) -> UniqueConstraint {
    UniqueConstraint {
        column,
        name: format!("{}_pkey", create.name),
    }
}
