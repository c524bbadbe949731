//! Expressions: their types, before any value is known, and their values.

use sqlparser::ast::{
    BinaryOperator, Expr, FunctionArg, FunctionArgExpr, FunctionArguments, UnaryOperator,
    Value as Literal,
};

use super::Refusal;
use super::storage::Column;
use super::surroundings::Surroundings;
use super::value::{Type, Value};

/// The types of a statement's parameters, as far as they are known.
#[derive(Clone, Debug, Default)]
pub(super) struct Parameters(pub(super) Vec<Option<Type>>);

impl Parameters {
    /// Says that a parameter is of a type, if nothing was said of it before.
    fn note(&mut self, at: usize, kind: Option<Type>) {
        if self.0.len() <= at {
            self.0.resize(at + 1, None);
        }
        self.0[at] = self.0[at].or(kind);
    }
}

/// What an expression stands in.
pub(super) struct Scope<'a> {
    pub(super) columns: &'a [Column],
    pub(super) row: &'a [Value],
    pub(super) values: &'a [Value],
    pub(super) around: &'a dyn Surroundings,
}

pub(super) fn unsupported(what: &impl std::fmt::Display) -> Refusal {
    Refusal("0A000", format!("not spoken by the stand-in: {what}"))
}

/// The position of a parameter, from 0.
fn parameter(expr: &Expr) -> Option<usize> {
    let Expr::Value(value) = expr else {
        return None;
    };
    let Literal::Placeholder(name) = &value.value else {
        return None;
    };
    name.strip_prefix('$')?
        .parse::<usize>()
        .ok()?
        .checked_sub(1)
}

fn column<'a>(expr: &Expr, columns: &'a [Column]) -> Result<Option<(usize, &'a Column)>, Refusal> {
    let name = match expr {
        Expr::Identifier(ident) => ident.value.clone(),
        // Of a row that was to be inserted; its columns stand behind the table's own.
        Expr::CompoundIdentifier(parts) if parts[0].value.eq_ignore_ascii_case("excluded") => {
            format!("excluded.{}", parts[parts.len() - 1].value)
        }
        Expr::CompoundIdentifier(parts) => parts[parts.len() - 1].value.clone(),
        _ => return Ok(None),
    };
    let at = columns
        .iter()
        .position(|column| column.name.eq_ignore_ascii_case(&name));
    at.map(|at| Some((at, &columns[at])))
        .ok_or_else(|| Refusal("42703", format!("column \"{name}\" does not exist")))
}

/// A function's name in small letters and its arguments.
pub(super) fn call(expr: &Expr) -> Option<(String, Vec<&Expr>)> {
    let Expr::Function(function) = expr else {
        return None;
    };
    let name = function.name.0.last()?.to_string().to_ascii_lowercase();
    let FunctionArguments::List(list) = &function.args else {
        return Some((name, Vec::new()));
    };
    let args = list.args.iter().filter_map(|arg| match arg {
        FunctionArg::Unnamed(FunctionArgExpr::Expr(expr)) => Some(expr),
        _ => None,
    });
    Some((name, args.collect()))
}

/// The type of a function's result, and of its arguments.
fn signature(name: &str) -> (Type, &'static [Type]) {
    match name {
        "count" | "sum" | "txid_current" => (Type::INT8, &[]),
        "pg_sleep" => (Type::VOID, &[Type::FLOAT8]),
        "pg_advisory_lock"
        | "pg_advisory_lock_shared"
        | "pg_advisory_xact_lock"
        | "pg_advisory_unlock_all" => (Type::VOID, &[Type::INT8, Type::INT8]),
        "pg_try_advisory_lock" | "pg_advisory_unlock" | "pg_try_advisory_xact_lock" => {
            (Type::BOOL, &[Type::INT8, Type::INT8])
        }
        "pg_is_in_recovery" | "pg_table_is_visible" => (Type::BOOL, &[]),
        "pg_backend_pid" | "length" | "char_length" | "octet_length" | "array_length" => {
            (Type::INT4, &[])
        }
        "generate_series" => (Type::INT4, &[Type::INT4, Type::INT4]),
        "repeat" => (Type::TEXT, &[Type::TEXT, Type::INT4]),
        "now" | "current_timestamp" | "statement_timestamp" | "clock_timestamp" => {
            (Type::TIMESTAMPTZ, &[])
        }
        "current_date" => (Type::DATE, &[]),
        "random" => (Type::FLOAT8, &[]),
        "gen_random_uuid" => (Type::UUID, &[]),
        "set_config" => (Type::TEXT, &[Type::TEXT, Type::TEXT, Type::BOOL]),
        "current_database" | "current_user" | "session_user" | "user" | "current_schema"
        | "current_catalog" => (Type::NAME, &[]),
        _ => (Type::TEXT, &[Type::TEXT, Type::TEXT]),
    }
}

fn comparison(op: &BinaryOperator) -> bool {
    matches!(
        op,
        BinaryOperator::Eq
            | BinaryOperator::NotEq
            | BinaryOperator::Lt
            | BinaryOperator::LtEq
            | BinaryOperator::Gt
            | BinaryOperator::GtEq
    )
}

/// The type of an expression where `wanted` would do, if anything would; notes what parameters have to be.
pub(super) fn infer(
    expr: &Expr,
    columns: &[Column],
    wanted: Option<Type>,
    known: &mut Parameters,
) -> Result<Option<Type>, Refusal> {
    if let Some(at) = parameter(expr) {
        known.note(at, wanted);
        return Ok(known.0[at]);
    }
    if let Some((name, args)) = call(expr) {
        let (kind, types) = signature(&name);
        let mut first = None;
        for (at, arg) in args.iter().enumerate() {
            let kind = infer(arg, columns, types.get(at).copied(), known)?;
            first = first.or(kind);
        }
        return Ok(Some(match (name.as_str(), first) {
            ("max" | "min" | "coalesce" | "abs" | "greatest" | "least", Some(first)) => first,
            ("generate_series", Some(Type::INT8)) => Type::INT8,
            _ => kind,
        }));
    }
    if let Some((_, column)) = column(expr, columns)? {
        return Ok(Some(column.kind));
    }
    Ok(match expr {
        Expr::Value(value) => match &value.value {
            Literal::Number(number, _) if number.contains(['.', 'e', 'E']) => Some(Type::NUMERIC),
            Literal::Number(number, _) => Some(if number.parse::<i32>().is_ok() {
                Type::INT4
            } else {
                Type::INT8
            }),
            Literal::Boolean(_) => Some(Type::BOOL),
            _ => None,
        },
        Expr::Cast {
            expr, data_type, ..
        } => {
            let kind = named(data_type)?;
            infer(expr, columns, Some(kind), known)?;
            Some(kind)
        }
        Expr::TypedString(typed) => Some(named(&typed.data_type)?),
        Expr::Nested(inner) => infer(inner, columns, wanted, known)?,
        Expr::UnaryOp {
            op: UnaryOperator::Not,
            expr,
        } => {
            infer(expr, columns, Some(Type::BOOL), known)?;
            Some(Type::BOOL)
        }
        Expr::UnaryOp { expr, .. } => infer(expr, columns, wanted, known)?,
        Expr::IsNull(inner)
        | Expr::IsNotNull(inner)
        | Expr::IsTrue(inner)
        | Expr::IsFalse(inner) => {
            infer(inner, columns, None, known)?;
            Some(Type::BOOL)
        }
        Expr::BinaryOp { left, op, right } => {
            let wish = match op {
                BinaryOperator::And | BinaryOperator::Or => Some(Type::BOOL),
                BinaryOperator::StringConcat => Some(Type::TEXT),
                _ => None,
            };
            let mut first = infer(left, columns, wish, known)?;
            let second = infer(right, columns, wish.or(first), known)?;
            if first.is_none() {
                first = infer(left, columns, second, known)?;
            }
            match op {
                op if comparison(op) || wish == Some(Type::BOOL) => Some(Type::BOOL),
                BinaryOperator::StringConcat => Some(Type::TEXT),
                _ => match (first, second) {
                    (Some(a), Some(b)) => Some(wider(a, b)),
                    (a, b) => a.or(b).or(wanted),
                },
            }
        }
        Expr::InList { expr, list, .. } => {
            let kind = infer(expr, columns, None, known)?;
            for one in list {
                infer(one, columns, kind, known)?;
            }
            Some(Type::BOOL)
        }
        Expr::Between {
            expr, low, high, ..
        } => {
            let kind = infer(expr, columns, None, known)?;
            infer(low, columns, kind, known)?;
            infer(high, columns, kind, known)?;
            Some(Type::BOOL)
        }
        Expr::Like { expr, pattern, .. } => {
            infer(expr, columns, Some(Type::TEXT), known)?;
            infer(pattern, columns, Some(Type::TEXT), known)?;
            Some(Type::BOOL)
        }
        Expr::AnyOp { left, right, .. } => {
            let kind = infer(left, columns, None, known)?;
            infer(right, columns, kind.map(Type::array), known)?;
            Some(Type::BOOL)
        }
        Expr::Array(array) => {
            let mut kind = wanted.and_then(Type::element);
            for one in &array.elem {
                kind = infer(one, columns, kind, known)?.or(kind);
            }
            Some(kind.unwrap_or(Type::TEXT).array())
        }
        Expr::Case {
            conditions,
            else_result,
            ..
        } => {
            let mut kind = wanted;
            for when in conditions {
                infer(&when.condition, columns, Some(Type::BOOL), known)?;
                kind = infer(&when.result, columns, kind, known)?.or(kind);
            }
            if let Some(other) = else_result {
                kind = infer(other, columns, kind, known)?.or(kind);
            }
            kind
        }
        other => return Err(unsupported(other)),
    })
}

pub(super) fn named(kind: &sqlparser::ast::DataType) -> Result<Type, Refusal> {
    let name = kind.to_string();
    Type::named(&name).ok_or_else(|| {
        Refusal(
            "42704",
            format!("type \"{}\" does not exist", name.to_lowercase()),
        )
    })
}

fn wider(a: Type, b: Type) -> Type {
    let rank = |kind: Type| match kind {
        Type::INT2 => 1,
        Type::INT4 => 2,
        Type::INT8 => 3,
        Type::NUMERIC => 4,
        Type::FLOAT4 => 5,
        Type::FLOAT8 => 6,
        _ => 0,
    };
    if rank(b) > rank(a) { b } else { a }
}

impl Scope<'_> {
    /// The value of an expression, of the type that [`infer`] gives it where it has one.
    pub(super) fn value(&self, expr: &Expr) -> Result<Value, Refusal> {
        if let Some(at) = parameter(expr) {
            let missing = || Refusal("42P02", format!("there is no parameter ${}", at + 1));
            return self.values.get(at).cloned().ok_or_else(missing);
        }
        if let Some((name, args)) = call(expr) {
            let args = args
                .into_iter()
                .map(|arg| self.value(arg))
                .collect::<Result<Vec<_>, _>>()?;
            return self.around.call(&name, args);
        }
        if let Some((at, _)) = column(expr, self.columns)? {
            return Ok(self.row.get(at).cloned().unwrap_or(Value::Null));
        }
        Ok(match expr {
            Expr::Value(value) => match &value.value {
                Literal::Number(number, _) => match number.parse() {
                    Ok(whole) => Value::Int(whole),
                    Err(_) => Value::read_text(Type::NUMERIC, number)?,
                },
                Literal::SingleQuotedString(text) | Literal::EscapedStringLiteral(text) => {
                    Value::Text(text.clone())
                }
                Literal::DollarQuotedString(text) => Value::Text(text.value.clone()),
                Literal::Boolean(truth) => Value::Bool(*truth),
                Literal::Null => Value::Null,
                other => return Err(unsupported(other)),
            },
            Expr::Cast {
                expr, data_type, ..
            } => self.value(expr)?.cast(named(data_type)?)?,
            Expr::TypedString(typed) => {
                let text = typed.value.clone().into_string().unwrap_or_default();
                Value::read_text(named(&typed.data_type)?, &text)?
            }
            Expr::Nested(inner) => self.value(inner)?,
            Expr::UnaryOp { op, expr } => match (op, self.value(expr)?) {
                (_, Value::Null) => Value::Null,
                (UnaryOperator::Not, Value::Bool(truth)) => Value::Bool(!truth),
                (UnaryOperator::Minus, Value::Int(number)) => Value::Int(-number),
                (UnaryOperator::Minus, Value::Float(number)) => Value::Float(-number),
                (UnaryOperator::Minus, Value::Numeric(digits)) => {
                    Value::Numeric(format!("-{digits}"))
                }
                (UnaryOperator::Plus, value) => value,
                _ => return Err(unsupported(expr)),
            },
            Expr::IsNull(inner) => Value::Bool(self.value(inner)? == Value::Null),
            Expr::IsNotNull(inner) => Value::Bool(self.value(inner)? != Value::Null),
            Expr::IsTrue(inner) => Value::Bool(self.value(inner)? == Value::Bool(true)),
            Expr::IsFalse(inner) => Value::Bool(self.value(inner)? == Value::Bool(false)),
            Expr::BinaryOp { left, op, right } => self.binary(left, op, right)?,
            Expr::InList {
                expr,
                list,
                negated,
            } => {
                let wanted = self.value(expr)?;
                let mut found = false;
                for one in list {
                    found |= compare(&wanted, &BinaryOperator::Eq, &self.value(one)?)?
                        == Value::Bool(true);
                }
                Value::Bool(found != *negated)
            }
            Expr::Between {
                expr,
                low,
                high,
                negated,
            } => {
                let value = self.value(expr)?;
                let above = compare(&value, &BinaryOperator::GtEq, &self.value(low)?)?;
                let below = compare(&value, &BinaryOperator::LtEq, &self.value(high)?)?;
                Value::Bool((above == Value::Bool(true) && below == Value::Bool(true)) != *negated)
            }
            Expr::Like {
                expr,
                pattern,
                negated,
                ..
            } => match (self.value(expr)?, self.value(pattern)?) {
                (Value::Text(text), Value::Text(pattern)) => {
                    Value::Bool(like(&text, &pattern) != *negated)
                }
                _ => Value::Null,
            },
            Expr::AnyOp {
                left,
                compare_op,
                right,
                ..
            } => {
                let wanted = self.value(left)?;
                let Value::Array(all) = self.value(right)? else {
                    return Ok(Value::Null);
                };
                let mut found = false;
                for one in &all {
                    found |= compare(&wanted, compare_op, one)? == Value::Bool(true);
                }
                Value::Bool(found)
            }
            Expr::Array(array) => Value::Array(
                array
                    .elem
                    .iter()
                    .map(|one| self.value(one))
                    .collect::<Result<_, _>>()?,
            ),
            Expr::Case {
                operand: None,
                conditions,
                else_result,
                ..
            } => {
                for when in conditions {
                    if self.value(&when.condition)? == Value::Bool(true) {
                        return self.value(&when.result);
                    }
                }
                else_result
                    .as_ref()
                    .map_or(Ok(Value::Null), |other| self.value(other))?
            }
            other => return Err(unsupported(other)),
        })
    }

    fn binary(&self, left: &Expr, op: &BinaryOperator, right: &Expr) -> Result<Value, Refusal> {
        let (a, b) = (self.value(left)?, self.value(right)?);
        if comparison(op) {
            return compare(&a, op, &b);
        }
        match op {
            BinaryOperator::And => {
                return Ok(match (a, b) {
                    (Value::Bool(false), _) | (_, Value::Bool(false)) => Value::Bool(false),
                    (Value::Bool(true), Value::Bool(true)) => Value::Bool(true),
                    _ => Value::Null,
                });
            }
            BinaryOperator::Or => {
                return Ok(match (a, b) {
                    (Value::Bool(true), _) | (_, Value::Bool(true)) => Value::Bool(true),
                    (Value::Bool(false), Value::Bool(false)) => Value::Bool(false),
                    _ => Value::Null,
                });
            }
            _ => {}
        }
        if a == Value::Null || b == Value::Null {
            return Ok(Value::Null);
        }
        if *op == BinaryOperator::StringConcat {
            return Ok(Value::Text(a.text(Type::TEXT) + &b.text(Type::TEXT)));
        }
        // What came as a text without a type is a number here.
        let number = |value: Value| match value {
            Value::Text(text) => Value::read_text(Type::INT8, &text),
            other => Ok(other),
        };
        match (number(a)?, number(b)?) {
            (Value::Int(a), Value::Int(b)) => {
                let result = match op {
                    BinaryOperator::Plus => a.checked_add(b),
                    BinaryOperator::Minus => a.checked_sub(b),
                    BinaryOperator::Multiply => a.checked_mul(b),
                    BinaryOperator::Divide | BinaryOperator::Modulo if b == 0 => {
                        return Err(Refusal("22012", "division by zero".to_owned()));
                    }
                    BinaryOperator::Divide => a.checked_div(b),
                    BinaryOperator::Modulo => a.checked_rem(b),
                    other => return Err(unsupported(other)),
                };
                result
                    .map(Value::Int)
                    .ok_or_else(|| Refusal("22003", "bigint out of range".to_owned()))
            }
            (a, b) => {
                let exact = matches!(
                    (&a, &b),
                    (
                        Value::Numeric(_) | Value::Int(_),
                        Value::Numeric(_) | Value::Int(_)
                    )
                );
                let (Value::Float(a), Value::Float(b)) =
                    (a.cast(Type::FLOAT8)?, b.cast(Type::FLOAT8)?)
                else {
                    return Err(unsupported(op));
                };
                let result = match op {
                    BinaryOperator::Plus => a + b,
                    BinaryOperator::Minus => a - b,
                    BinaryOperator::Multiply => a * b,
                    BinaryOperator::Divide if b == 0.0 => {
                        return Err(Refusal("22012", "division by zero".to_owned()));
                    }
                    BinaryOperator::Divide => a / b,
                    other => return Err(unsupported(other)),
                };
                Ok(if exact {
                    Value::Numeric(result.to_string())
                } else {
                    Value::Float(result)
                })
            }
        }
    }
}

fn compare(a: &Value, op: &BinaryOperator, b: &Value) -> Result<Value, Refusal> {
    // A literal has no type of its own until it meets one.
    let like = |text: &Value, other: &Value| -> Result<Value, Refusal> {
        let (Value::Text(text), kind) = (text, kind_of(other)) else {
            return Ok(text.clone());
        };
        kind.map_or_else(
            || Ok(Value::Text(text.clone())),
            |kind| Value::read_text(kind, text),
        )
    };
    let (a, b) = (like(a, b)?, like(b, a)?);
    let Some(order) = a.order(&b) else {
        return Ok(Value::Null);
    };
    Ok(Value::Bool(match op {
        BinaryOperator::Eq => order.is_eq(),
        BinaryOperator::NotEq => order.is_ne(),
        BinaryOperator::Lt => order.is_lt(),
        BinaryOperator::LtEq => order.is_le(),
        BinaryOperator::Gt => order.is_gt(),
        BinaryOperator::GtEq => order.is_ge(),
        other => return Err(unsupported(other)),
    }))
}

fn kind_of(value: &Value) -> Option<Type> {
    match value {
        Value::Int(_) => Some(Type::INT8),
        Value::Float(_) => Some(Type::FLOAT8),
        Value::Numeric(_) => Some(Type::NUMERIC),
        Value::Bool(_) => Some(Type::BOOL),
        Value::Uuid(_) => Some(Type::UUID),
        Value::Date(_) => Some(Type::DATE),
        Value::Timestamp(_) => Some(Type::TIMESTAMPTZ),
        Value::Bytes(_) => Some(Type::BYTEA),
        _ => None,
    }
}

/// LIKE with `%` and `_`.
fn like(text: &str, pattern: &str) -> bool {
    let mut signs = pattern.chars();
    match signs.next() {
        None => text.is_empty(),
        Some('%') => {
            let rest = signs.as_str();
            text.char_indices().any(|(at, _)| like(&text[at..], rest)) || like("", rest)
        }
        Some(sign) => {
            let mut of = text.chars();
            of.next().is_some_and(|first| sign == '_' || sign == first)
                && like(of.as_str(), signs.as_str())
        }
    }
}
