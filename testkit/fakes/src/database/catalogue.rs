//! Queries of the system catalogue that drivers send by themselves, recognised by their texts: they join and recurse,
//! which this server's SQL does not. They are answered from the table of types.

use super::result::{ResultColumn, StatementResult};
use super::value::{TYPES, Type, TypeEntry, Value};

/// The schema of built-in types.
const CATALOGUE_SCHEMA: &str = "pg_catalog";

/// The kind of base types, and of arrays of them.
const BASE_TYPE_KIND: &str = "b";

/// A query of the catalogue: its parameters, its columns and how it is answered.
pub(super) struct CatalogueQuery {
    pub(super) parameters: Vec<Type>,
    pub(super) columns: Vec<ResultColumn>,
    /// The rows for the values of the parameters.
    rows: fn(&[Value]) -> Vec<Vec<Value>>,
}

impl CatalogueQuery {
    /// The query that a text is, if it is a known one.
    pub(super) fn recognize(sql: &str) -> Option<Self> {
        if sql.contains("typeinfo_tree") {
            Some(Self::type_tree())
        } else if sql.contains("typarray") && sql.contains("typcategory") {
            Some(Self::array_types())
        } else {
            None
        }
    }

    /// asyncpg's query for types and the types that they are made of.
    fn type_tree() -> Self {
        let columns = [
            ("oid", Type::OID),
            ("ns", Type::TEXT),
            ("name", Type::TEXT),
            ("kind", Type::TEXT),
            ("basetype", Type::OID),
            ("elemtype", Type::OID),
            ("elemdelim", Type::TEXT),
            ("range_subtype", Type::OID),
            ("attrtypoids", Type::OID.array()),
            ("attrnames", Type::TEXT.array()),
            ("depth", Type::INT4),
            ("basetype_name", Type::TEXT),
            ("elemtype_name", Type::TEXT),
            ("range_subtype_name", Type::TEXT),
        ];
        Self {
            parameters: vec![Type::OID.array()],
            columns: result_columns(&columns),
            rows: type_tree_rows,
        }
    }

    /// postgres.js's query for the array type of each type.
    fn array_types() -> Self {
        Self {
            parameters: Vec::new(),
            columns: result_columns(&[("oid", Type::OID), ("typarray", Type::OID)]),
            rows: array_type_rows,
        }
    }

    /// Executes the query with the values of its parameters.
    pub(super) fn execute(&self, values: &[Value]) -> StatementResult {
        StatementResult {
            columns: self.columns.clone(),
            rows: (self.rows)(values),
            command_tag: "SELECT",
            ..StatementResult::default()
        }
    }
}

fn result_columns(columns: &[(&str, Type)]) -> Vec<ResultColumn> {
    columns
        .iter()
        .map(|(name, data_type)| ResultColumn::new(*name, *data_type))
        .collect()
}

fn oid(data_type: Type) -> Value {
    Value::Int(i64::from(data_type.0))
}

fn text(text: &str) -> Value {
    Value::Text(text.to_owned())
}

fn array_type_rows(_: &[Value]) -> Vec<Vec<Value>> {
    TYPES
        .iter()
        .map(|entry| vec![oid(entry.element), oid(entry.array)])
        .collect()
}

/// The rows for an array of type numbers: an array type is preceded by the type of its elements.
fn type_tree_rows(values: &[Value]) -> Vec<Vec<Value>> {
    let Some(Value::Array(wanted)) = values.first() else {
        return Vec::new();
    };
    let mut rows = Vec::new();
    for value in wanted {
        let Value::Int(number) = value else {
            continue;
        };
        let Ok(number) = u32::try_from(*number) else {
            continue;
        };
        let data_type = Type(number);
        if let Some(entry) = TYPES.iter().find(|entry| entry.array == data_type) {
            rows.push(element_row(entry, 1));
            rows.push(array_row(entry));
        } else if let Some(entry) = TYPES.iter().find(|entry| entry.element == data_type) {
            rows.push(element_row(entry, 0));
        }
    }
    rows
}

fn element_row(entry: &TypeEntry, depth: i64) -> Vec<Value> {
    type_row(entry.element, entry.name, [Value::Null, Value::Null], depth)
}

fn array_row(entry: &TypeEntry) -> Vec<Value> {
    let name = format!("_{}", entry.name);
    type_row(
        entry.array,
        &name,
        [oid(entry.element), text(entry.name)],
        0,
    )
}

/// A row of the type tree; `element` holds the number and name of the type of an array's elements.
fn type_row(data_type: Type, name: &str, element: [Value; 2], depth: i64) -> Vec<Value> {
    let [element_oid, element_name] = element;
    vec![
        oid(data_type),
        text(CATALOGUE_SCHEMA),
        text(name),
        text(BASE_TYPE_KIND),
        Value::Null,
        element_oid,
        text(","),
        Value::Null,
        Value::Null,
        Value::Null,
        Value::Int(depth),
        Value::Null,
        element_name,
        Value::Null,
    ]
}
