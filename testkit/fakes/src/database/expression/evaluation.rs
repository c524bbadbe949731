//! Evaluates an expression for one row.

use sqlparser::ast::{BinaryOperator, CaseWhen, Expr, UnaryOperator, Value as Literal};

use super::arithmetic::{concatenate, evaluate_arithmetic, logical_and, logical_or, negate};
use super::comparison::{compare, matches_like};
use super::{
    FunctionCall, column_reference, is_comparison, parameter_position, resolve_type, unsupported,
};
use crate::database::context::ExecutionContext;
use crate::database::error::{SqlError, SqlState};
use crate::database::storage::Column;
use crate::database::value::{Type, Value};

/// Resolves the column references, parameters and function calls of an expression.
pub(crate) struct EvaluationScope<'a> {
    pub(crate) columns: &'a [Column],
    /// The row's values, in the order of `columns`.
    pub(crate) row: &'a [Value],
    /// The values of the parameters.
    pub(crate) values: &'a [Value],
    pub(crate) context: &'a dyn ExecutionContext,
}

impl EvaluationScope<'_> {
    /// Evaluates an expression.
    pub(crate) fn value(&self, expr: &Expr) -> Result<Value, SqlError> {
        if let Some(position) = parameter_position(expr) {
            return self.parameter_value(position);
        }
        if let Some(call) = FunctionCall::parse(expr) {
            return self.evaluate_call(call);
        }
        if let Some(reference) = column_reference(expr, self.columns)? {
            let value = self.row.get(reference.position);
            return Ok(value.cloned().unwrap_or(Value::Null));
        }
        match expr {
            Expr::Value(value) => literal_value(&value.value),
            Expr::Cast {
                expr: inner,
                data_type,
                ..
            } => self.value(inner)?.cast(resolve_type(data_type)?),
            Expr::TypedString(typed) => {
                let text = typed.value.clone().into_string().unwrap_or_default();
                Value::read_text(resolve_type(&typed.data_type)?, &text)
            }
            Expr::Nested(inner) => self.value(inner),
            Expr::UnaryOp { op, expr: operand } => self.evaluate_unary(*op, operand),
            Expr::BinaryOp { left, op, right } => self.evaluate_binary(left, op, right),
            Expr::Array(array) => {
                let elements = array.elem.iter().map(|element| self.value(element));
                elements.collect::<Result<_, _>>().map(Value::Array)
            }
            Expr::Case {
                operand: None,
                conditions,
                else_result,
                ..
            } => self.evaluate_case(conditions, else_result.as_deref()),
            other => self.evaluate_predicate(other),
        }
    }

    /// Whether an expression is true for the row; false if the expression is NULL.
    pub(crate) fn is_true(&self, expr: &Expr) -> Result<bool, SqlError> {
        Ok(self.value(expr)? == Value::Bool(true))
    }

    fn parameter_value(&self, position: usize) -> Result<Value, SqlError> {
        self.values.get(position).cloned().ok_or_else(|| {
            SqlError::new(
                SqlState::UNDEFINED_PARAMETER,
                format!("there is no parameter ${}", position + 1),
            )
        })
    }

    fn evaluate_call(&self, call: FunctionCall<'_>) -> Result<Value, SqlError> {
        let arguments = call
            .arguments
            .into_iter()
            .map(|argument| self.value(argument));
        let arguments = arguments.collect::<Result<Vec<_>, _>>()?;
        self.context.call(&call.name, &arguments)
    }

    fn evaluate_unary(&self, op: UnaryOperator, operand: &Expr) -> Result<Value, SqlError> {
        match (op, self.value(operand)?) {
            (_, Value::Null) => Ok(Value::Null),
            (UnaryOperator::Not, Value::Bool(truth)) => Ok(Value::Bool(!truth)),
            (UnaryOperator::Minus, value) => negate(value).ok_or_else(|| unsupported(operand)),
            (UnaryOperator::Plus, value) => Ok(value),
            _ => Err(unsupported(operand)),
        }
    }

    fn evaluate_binary(
        &self,
        left: &Expr,
        op: &BinaryOperator,
        right: &Expr,
    ) -> Result<Value, SqlError> {
        let left = self.value(left)?;
        let right = self.value(right)?;
        if is_comparison(op) {
            return compare(&left, op, &right);
        }
        match op {
            BinaryOperator::And => Ok(logical_and(&left, &right)),
            BinaryOperator::Or => Ok(logical_or(&left, &right)),
            _ if left == Value::Null || right == Value::Null => Ok(Value::Null),
            BinaryOperator::StringConcat => Ok(concatenate(&left, &right)),
            _ => evaluate_arithmetic(left, op, right),
        }
    }

    fn evaluate_case(
        &self,
        branches: &[CaseWhen],
        else_result: Option<&Expr>,
    ) -> Result<Value, SqlError> {
        for branch in branches {
            if self.is_true(&branch.condition)? {
                return self.value(&branch.result);
            }
        }
        match else_result {
            Some(else_result) => self.value(else_result),
            None => Ok(Value::Null),
        }
    }

    /// Evaluates IS NULL, IS TRUE, IS FALSE, IN, BETWEEN, LIKE and ANY.
    fn evaluate_predicate(&self, expr: &Expr) -> Result<Value, SqlError> {
        match expr {
            Expr::IsNull(operand) => Ok(Value::Bool(self.value(operand)? == Value::Null)),
            Expr::IsNotNull(operand) => Ok(Value::Bool(self.value(operand)? != Value::Null)),
            Expr::IsTrue(operand) => Ok(Value::Bool(self.is_true(operand)?)),
            Expr::IsFalse(operand) => Ok(Value::Bool(self.value(operand)? == Value::Bool(false))),
            Expr::InList {
                expr: operand,
                list,
                negated,
            } => {
                let operand = self.value(operand)?;
                let candidates = list.iter().map(|item| self.value(item));
                let found = any_matches(&operand, &BinaryOperator::Eq, candidates)?;
                Ok(Value::Bool(found != *negated))
            }
            Expr::Between {
                expr: operand,
                low,
                high,
                negated,
            } => {
                let is_between = self.is_between(operand, low, high)?;
                Ok(Value::Bool(is_between != *negated))
            }
            Expr::Like {
                expr: operand,
                pattern,
                negated,
                ..
            } => match (self.value(operand)?, self.value(pattern)?) {
                (Value::Text(text), Value::Text(pattern)) => {
                    Ok(Value::Bool(matches_like(&text, &pattern) != *negated))
                }
                _ => Ok(Value::Null),
            },
            Expr::AnyOp {
                left,
                compare_op,
                right,
                ..
            } => {
                let operand = self.value(left)?;
                let Value::Array(elements) = self.value(right)? else {
                    return Ok(Value::Null);
                };
                let found = any_matches(&operand, compare_op, elements.into_iter().map(Ok))?;
                Ok(Value::Bool(found))
            }
            other => Err(unsupported(other)),
        }
    }

    fn is_between(&self, operand: &Expr, low: &Expr, high: &Expr) -> Result<bool, SqlError> {
        let value = self.value(operand)?;
        let above = compare(&value, &BinaryOperator::GtEq, &self.value(low)?)?;
        let below = compare(&value, &BinaryOperator::LtEq, &self.value(high)?)?;
        Ok(above == Value::Bool(true) && below == Value::Bool(true))
    }
}

/// Whether the comparison of `operand` with any of the candidates is true. All candidates are evaluated, so that an
/// error in any of them is reported.
fn any_matches(
    operand: &Value,
    operator: &BinaryOperator,
    candidates: impl Iterator<Item = Result<Value, SqlError>>,
) -> Result<bool, SqlError> {
    let mut found = false;
    for candidate in candidates {
        found |= compare(operand, operator, &candidate?)? == Value::Bool(true);
    }
    Ok(found)
}

/// The value of a literal; a number with a fraction, or outside the range of a 64-bit integer, is a NUMERIC.
fn literal_value(literal: &Literal) -> Result<Value, SqlError> {
    match literal {
        Literal::Number(number, _) => match number.parse() {
            Ok(integer) => Ok(Value::Int(integer)),
            Err(_) => Value::read_text(Type::NUMERIC, number),
        },
        Literal::SingleQuotedString(text) | Literal::EscapedStringLiteral(text) => {
            Ok(Value::Text(text.clone()))
        }
        Literal::DollarQuotedString(text) => Ok(Value::Text(text.value.clone())),
        Literal::Boolean(truth) => Ok(Value::Bool(*truth)),
        Literal::Null => Ok(Value::Null),
        other => Err(unsupported(other)),
    }
}
