//! Type inference: the types of an expression and of its parameters, before any values are known.

use sqlparser::ast::{BinaryOperator, CaseWhen, Expr, UnaryOperator, Value as Literal};

use super::{
    FunctionCall, column_reference, is_comparison, parameter_position, resolve_type, unsupported,
};
use crate::database::error::SqlError;
use crate::database::storage::Column;
use crate::database::value::Type;

/// The types of a statement's parameters, by position; `None` for a type that has not been determined.
#[derive(Clone, Debug, Default)]
pub(crate) struct ParameterTypes(pub(crate) Vec<Option<Type>>);

impl ParameterTypes {
    /// Records the type of a parameter, unless an earlier use has already determined its type. Returns the recorded
    /// type.
    fn record(&mut self, position: usize, parameter_type: Option<Type>) -> Option<Type> {
        if self.0.len() <= position {
            self.0.resize(position + 1, None);
        }
        self.0[position] = self.0[position].or(parameter_type);
        self.0[position]
    }
}

/// Infers the type of an expression that may refer to `columns`; `None` if the type cannot be determined. `expected` is
/// the type that the context of the expression calls for. The inferred types of parameters are added to `parameters`.
pub(crate) fn infer(
    expr: &Expr,
    columns: &[Column],
    expected: Option<Type>,
    parameters: &mut ParameterTypes,
) -> Result<Option<Type>, SqlError> {
    Inference {
        columns,
        parameters,
    }
    .infer(expr, expected)
}

/// The columns that an expression may refer to, and the parameter types determined so far.
struct Inference<'a> {
    columns: &'a [Column],
    parameters: &'a mut ParameterTypes,
}

impl Inference<'_> {
    fn infer(&mut self, expr: &Expr, expected: Option<Type>) -> Result<Option<Type>, SqlError> {
        if let Some(position) = parameter_position(expr) {
            return Ok(self.parameters.record(position, expected));
        }
        if let Some(call) = FunctionCall::parse(expr) {
            return self.infer_call(&call).map(Some);
        }
        if let Some(reference) = column_reference(expr, self.columns)? {
            return Ok(Some(reference.column.data_type));
        }
        match expr {
            Expr::Value(value) => Ok(literal_type(&value.value)),
            Expr::Cast {
                expr: inner,
                data_type,
                ..
            } => {
                let target = resolve_type(data_type)?;
                self.infer(inner, Some(target))?;
                Ok(Some(target))
            }
            Expr::TypedString(typed) => resolve_type(&typed.data_type).map(Some),
            Expr::Nested(inner) => self.infer(inner, expected),
            Expr::UnaryOp {
                op: UnaryOperator::Not,
                expr: operand,
            } => self.infer_predicate_operands(&[operand], Some(Type::BOOL)),
            Expr::UnaryOp { expr: operand, .. } => self.infer(operand, expected),
            Expr::BinaryOp { left, op, right } => self.infer_binary(left, op, right, expected),
            Expr::Array(array) => self.infer_array(&array.elem, expected),
            Expr::Case {
                conditions,
                else_result,
                ..
            } => self.infer_case(conditions, else_result.as_deref(), expected),
            other => self.infer_predicate(other),
        }
    }

    /// Infers the result type of a function call. Parameters among the arguments get the types of the function's
    /// signature.
    fn infer_call(&mut self, call: &FunctionCall<'_>) -> Result<Type, SqlError> {
        let signature = signature(&call.name);
        let mut first_type = None;
        for (position, argument) in call.arguments.iter().enumerate() {
            let expected = signature.arguments.get(position).copied();
            let argument_type = self.infer(argument, expected)?;
            first_type = first_type.or(argument_type);
        }
        Ok(match (call.name.as_str(), first_type) {
            ("max" | "min" | "coalesce" | "abs" | "greatest" | "least", Some(first)) => first,
            ("generate_series", Some(Type::INT8)) => Type::INT8,
            _ => signature.result,
        })
    }

    /// Infers the operand types of IS NULL, IS TRUE, IS FALSE, IN, BETWEEN, LIKE and ANY, whose own type is boolean.
    fn infer_predicate(&mut self, expr: &Expr) -> Result<Option<Type>, SqlError> {
        match expr {
            Expr::IsNull(operand)
            | Expr::IsNotNull(operand)
            | Expr::IsTrue(operand)
            | Expr::IsFalse(operand) => self.infer_predicate_operands(&[operand], None),
            Expr::InList {
                expr: operand,
                list,
                ..
            } => {
                let operand_type = self.infer(operand, None)?;
                let items: Vec<&Expr> = list.iter().collect();
                self.infer_predicate_operands(&items, operand_type)
            }
            Expr::Between {
                expr: operand,
                low,
                high,
                ..
            } => {
                let operand_type = self.infer(operand, None)?;
                self.infer_predicate_operands(&[low, high], operand_type)
            }
            Expr::Like {
                expr: operand,
                pattern,
                ..
            } => self.infer_predicate_operands(&[operand, pattern], Some(Type::TEXT)),
            Expr::AnyOp { left, right, .. } => {
                let operand_type = self.infer(left, None)?;
                self.infer_predicate_operands(&[right], operand_type.map(Type::array))
            }
            other => Err(unsupported(other)),
        }
    }

    /// Infers the operands of a predicate, all of the `expected` type. Returns the type of the predicate, boolean.
    fn infer_predicate_operands(
        &mut self,
        operands: &[&Expr],
        expected: Option<Type>,
    ) -> Result<Option<Type>, SqlError> {
        for operand in operands {
            self.infer(operand, expected)?;
        }
        Ok(Some(Type::BOOL))
    }

    fn infer_binary(
        &mut self,
        left: &Expr,
        operator: &BinaryOperator,
        right: &Expr,
        expected: Option<Type>,
    ) -> Result<Option<Type>, SqlError> {
        let operand_type = match operator {
            BinaryOperator::And | BinaryOperator::Or => Some(Type::BOOL),
            BinaryOperator::StringConcat => Some(Type::TEXT),
            _ => None,
        };
        let mut left_type = self.infer(left, operand_type)?;
        let right_type = self.infer(right, operand_type.or(left_type))?;
        if left_type.is_none() {
            // A parameter on the left takes the type of the right operand.
            left_type = self.infer(left, right_type)?;
        }
        if is_comparison(operator) || operand_type == Some(Type::BOOL) {
            return Ok(Some(Type::BOOL));
        }
        if *operator == BinaryOperator::StringConcat {
            return Ok(Some(Type::TEXT));
        }
        Ok(match (left_type, right_type) {
            (Some(left_type), Some(right_type)) => Some(wider(left_type, right_type)),
            (left_type, right_type) => left_type.or(right_type).or(expected),
        })
    }

    fn infer_array(
        &mut self,
        elements: &[Expr],
        expected: Option<Type>,
    ) -> Result<Option<Type>, SqlError> {
        let mut element_type = expected.and_then(Type::element);
        for element in elements {
            element_type = self.infer(element, element_type)?.or(element_type);
        }
        Ok(Some(element_type.unwrap_or(Type::TEXT).array()))
    }

    fn infer_case(
        &mut self,
        branches: &[CaseWhen],
        else_result: Option<&Expr>,
        expected: Option<Type>,
    ) -> Result<Option<Type>, SqlError> {
        let mut result_type = expected;
        for branch in branches {
            self.infer(&branch.condition, Some(Type::BOOL))?;
            result_type = self.infer(&branch.result, result_type)?.or(result_type);
        }
        if let Some(else_result) = else_result {
            result_type = self.infer(else_result, result_type)?.or(result_type);
        }
        Ok(result_type)
    }
}

/// The type of a literal; `None` for a string literal and NULL.
fn literal_type(literal: &Literal) -> Option<Type> {
    match literal {
        Literal::Number(number, _) if number.contains(['.', 'e', 'E']) => Some(Type::NUMERIC),
        Literal::Number(number, _) if number.parse::<i32>().is_ok() => Some(Type::INT4),
        Literal::Number(..) => Some(Type::INT8),
        Literal::Boolean(_) => Some(Type::BOOL),
        _ => None,
    }
}

/// The result type and argument types of a function.
struct Signature {
    result: Type,
    arguments: &'static [Type],
}

/// The signature of a function; a function that is not listed takes two texts and returns text.
fn signature(name: &str) -> Signature {
    let (result, arguments): (Type, &'static [Type]) = match name {
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
    };
    Signature { result, arguments }
}

/// The wider of two numeric types.
fn wider(left: Type, right: Type) -> Type {
    if numeric_rank(right) > numeric_rank(left) {
        right
    } else {
        left
    }
}

/// The rank of a numeric type, wider types higher; 0 for other types.
fn numeric_rank(numeric_type: Type) -> u8 {
    match numeric_type {
        Type::INT2 => 1,
        Type::INT4 => 2,
        Type::INT8 => 3,
        Type::NUMERIC => 4,
        Type::FLOAT4 => 5,
        Type::FLOAT8 => 6,
        _ => 0,
    }
}
