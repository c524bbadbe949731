//! Queries on the system catalogue that client drivers send by themselves. They use joins and recursion, which the fake
//! server does not execute; the server recognises them by their text and answers them from the table [`TYPES`].

use super::result::{ResultColumn, StatementResult};
use super::value::{TYPES, Type, TypeEntry, Value};

/// The schema of built-in types.
const CATALOGUE_SCHEMA: &str = "pg_catalog";

/// The `typtype` of base types and of their array types.
const BASE_TYPE_KIND: &str = "b";

/// A known query on the system catalogue.
pub(super) struct CatalogueQuery {
    pub(super) parameters: Vec<Type>,
    pub(super) columns: Vec<ResultColumn>,
    /// Returns the result rows for the values of the parameters.
    rows: fn(&[Value]) -> Vec<Vec<Value>>,
}

impl CatalogueQuery {
    /// Recognises a known query by its text; `None` for any other text.
    pub(super) fn recognize(sql: &str) -> Option<Self> {
        if sql.contains("typeinfo_tree") {
            Some(Self::type_tree())
        } else if sql.contains("typarray") && sql.contains("typcategory") {
            Some(Self::array_types())
        } else {
            None
        }
    }

    /// asyncpg's query for types and the types that they are composed of.
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

fn oid_value(data_type: Type) -> Value {
    Value::Int(i64::from(data_type.0))
}

fn text_value(text: &str) -> Value {
    Value::Text(text.to_owned())
}

fn array_type_rows(_: &[Value]) -> Vec<Vec<Value>> {
    TYPES
        .iter()
        .map(|entry| vec![oid_value(entry.data_type), oid_value(entry.array_type)])
        .collect()
}

/// The type tree for an array of type OIDs; the row of an array type follows the row of its element type.
fn type_tree_rows(values: &[Value]) -> Vec<Vec<Value>> {
    let Some(Value::Array(oids)) = values.first() else {
        return Vec::new();
    };
    let mut rows = Vec::new();
    for value in oids {
        let Value::Int(oid) = value else {
            continue;
        };
        let Ok(oid) = u32::try_from(*oid) else {
            continue;
        };
        let data_type = Type(oid);
        if let Some(entry) = TYPES.iter().find(|entry| entry.array_type == data_type) {
            rows.push(element_row(entry, 1));
            rows.push(array_row(entry));
        } else if let Some(entry) = TYPES.iter().find(|entry| entry.data_type == data_type) {
            rows.push(element_row(entry, 0));
        }
    }
    rows
}

fn element_row(entry: &TypeEntry, depth: i64) -> Vec<Value> {
    type_row(
        entry.data_type,
        entry.name,
        [Value::Null, Value::Null],
        depth,
    )
}

fn array_row(entry: &TypeEntry) -> Vec<Value> {
    let name = format!("_{}", entry.name);
    type_row(
        entry.array_type,
        &name,
        [oid_value(entry.data_type), text_value(entry.name)],
        0,
    )
}

/// A row of the type tree; `element` holds the OID and name of the element type of an array type, otherwise NULLs.
fn type_row(data_type: Type, name: &str, element: [Value; 2], depth: i64) -> Vec<Value> {
    let [element_oid, element_name] = element;
    vec![
        oid_value(data_type),
        text_value(CATALOGUE_SCHEMA),
        text_value(name),
        text_value(BASE_TYPE_KIND),
        Value::Null,
        element_oid,
        text_value(","),
        Value::Null,
        Value::Null,
        Value::Null,
        Value::Int(depth),
        Value::Null,
        element_name,
        Value::Null,
    ]
}
