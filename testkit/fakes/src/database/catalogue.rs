//! Questions that drivers ask of the catalogue by themselves, recognised by their texts: they join and recurse, which the
//! stand-in's SQL does not. Answered from its table of types.

use super::query::Outcome;
use super::value::{ARRAYS, Type, Value};

/// A question, its parameters and what it brings.
pub(super) struct Question {
    /// The types of its parameters.
    pub(super) parameters: Vec<Type>,
    /// Its columns.
    pub(super) columns: Vec<(String, Type)>,
    rows: fn(&[Value]) -> Vec<Vec<Value>>,
}

fn columns(names: &[(&str, Type)]) -> Vec<(String, Type)> {
    names
        .iter()
        .map(|(name, kind)| ((*name).to_owned(), *kind))
        .collect()
}

/// The question that a text is, if it is one.
pub(super) fn question(sql: &str) -> Option<Question> {
    if sql.contains("typeinfo_tree") {
        // asyncpg: all about types and those that they are made of.
        return Some(Question {
            parameters: vec![Type::OID.array()],
            columns: columns(&[
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
            ]),
            rows: type_tree,
        });
    }
    if sql.contains("typarray") && sql.contains("typcategory") {
        // postgres.js: each type's array type.
        return Some(Question {
            parameters: Vec::new(),
            columns: columns(&[("oid", Type::OID), ("typarray", Type::OID)]),
            rows: |_| {
                let number = |oid: u32| Value::Int(i64::from(oid));
                ARRAYS
                    .iter()
                    .map(|(element, array, _)| vec![number(*element), number(*array)])
                    .collect()
            },
        });
    }
    None
}

impl Question {
    /// Its answer.
    pub(super) fn answer(&self, values: &[Value]) -> Outcome {
        Outcome {
            columns: self.columns.clone(),
            rows: (self.rows)(values),
            verb: "SELECT",
            ..Outcome::default()
        }
    }
}

fn type_tree(values: &[Value]) -> Vec<Vec<Value>> {
    let text = |text: &str| Value::Text(text.to_owned());
    let row = |oid: u32, name: String, element: Option<(u32, &str)>, depth: i64| {
        vec![
            Value::Int(i64::from(oid)),
            text("pg_catalog"),
            Value::Text(name),
            text("b"),
            Value::Null,
            element.map_or(Value::Null, |(oid, _)| Value::Int(i64::from(oid))),
            text(","),
            Value::Null,
            Value::Null,
            Value::Null,
            Value::Int(depth),
            Value::Null,
            element.map_or(Value::Null, |(_, name)| text(name)),
            Value::Null,
        ]
    };
    let Some(Value::Array(wanted)) = values.first() else {
        return Vec::new();
    };
    let mut rows = Vec::new();
    for oid in wanted.iter().filter_map(|value| {
        if let Value::Int(oid) = value {
            u32::try_from(*oid).ok()
        } else {
            None
        }
    }) {
        if let Some((element, array, name)) = ARRAYS.iter().find(|(_, array, _)| *array == oid) {
            rows.push(row(*element, (*name).to_owned(), None, 1));
            rows.push(row(*array, format!("_{name}"), Some((*element, name)), 0));
        } else if let Some((element, _, name)) = ARRAYS.iter().find(|(element, ..)| *element == oid)
        {
            rows.push(row(*element, (*name).to_owned(), None, 0));
        }
    }
    rows
}
