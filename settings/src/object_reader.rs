//! Reads typed values from a JSON object, with errors that name the object and the key.

use serde_json::{Map, Value};

/// Why a JSON object is rejected. The error does not name the file, which the caller adds.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ObjectError {
    /// The value is not a JSON object.
    #[error("{object}: not an object")]
    NotAnObject {
        /// The name of the expected object.
        object: String,
    },
    /// An element of a list is not a JSON object.
    #[error("{list}: not objects")]
    ElementNotAnObject {
        /// The name of the list.
        list: String,
    },
    /// A key is missing, or its value has the wrong type or is not permitted.
    #[error("{object}: field {key} is missing or of the wrong type")]
    InvalidField {
        /// The name of the object.
        object: String,
        /// The key within the object.
        key: String,
    },
}

/// Typed read access to a JSON object. Unknown keys are ignored, and a null value counts as absent unless a method says
/// otherwise.
#[derive(Clone, Copy, Debug)]
pub struct ObjectReader<'a> {
    name: &'a str,
    map: &'a Map<String, Value>,
}

impl<'a> ObjectReader<'a> {
    /// Creates a reader of `value`. Errors name the object `name`.
    pub fn new(name: &'a str, value: &'a Value) -> Result<Self, ObjectError> {
        let map = value.as_object().ok_or_else(|| ObjectError::NotAnObject {
            object: name.to_owned(),
        })?;
        Ok(Self { name, map })
    }

    /// Creates a reader of an element of a list. Errors name the list, `list`.
    pub fn of_element(list: &'a str, element: &'a Value) -> Result<Self, ObjectError> {
        let map = element
            .as_object()
            .ok_or_else(|| ObjectError::ElementNotAnObject {
                list: list.to_owned(),
            })?;
        Ok(Self { name: list, map })
    }

    /// The object's name in errors.
    #[must_use]
    pub fn name(&self) -> &'a str {
        self.name
    }

    /// Creates the error for a key that is missing or has an invalid value.
    #[must_use]
    pub fn invalid(&self, key: &str) -> ObjectError {
        ObjectError::InvalidField {
            object: self.name.to_owned(),
            key: key.to_owned(),
        }
    }

    /// Whether the key is present, even with a null value.
    #[must_use]
    pub fn contains_key(&self, key: &str) -> bool {
        self.map.contains_key(key)
    }

    /// A value of any type, or `None` if the key is missing or null.
    #[must_use]
    pub fn optional(&self, key: &str) -> Option<&'a Value> {
        self.map.get(key).filter(|value| !value.is_null())
    }

    /// A value of any type except null.
    pub fn required(&self, key: &str) -> Result<&'a Value, ObjectError> {
        self.optional(key).ok_or_else(|| self.invalid(key))
    }

    /// A 64-bit signed integer.
    pub fn signed_integer(&self, key: &str) -> Result<i64, ObjectError> {
        let value = self.required(key)?;
        value.as_i64().ok_or_else(|| self.invalid(key))
    }

    /// A 64-bit unsigned integer. A negative integer is read as 0.
    pub fn unsigned_integer(&self, key: &str) -> Result<u64, ObjectError> {
        let value = self.required(key)?;
        if let Some(number) = value.as_u64() {
            return Ok(number);
        }
        let is_negative = value.as_i64().is_some();
        if is_negative {
            Ok(0)
        } else {
            Err(self.invalid(key))
        }
    }

    /// Like [`Self::unsigned_integer`], but returns `default` if the key is missing or null.
    pub fn unsigned_integer_or(&self, key: &str, default: u64) -> Result<u64, ObjectError> {
        if self.optional(key).is_none() {
            return Ok(default);
        }
        self.unsigned_integer(key)
    }

    /// A number, integer or not.
    pub fn number(&self, key: &str) -> Result<f64, ObjectError> {
        let value = self.required(key)?;
        value.as_f64().ok_or_else(|| self.invalid(key))
    }

    /// Like [`Self::number`], but returns `default` if the key is missing or null.
    pub fn number_or(&self, key: &str, default: f64) -> Result<f64, ObjectError> {
        if self.optional(key).is_none() {
            return Ok(default);
        }
        self.number(key)
    }

    /// A number, or `None` if the key is missing or the value has another type.
    #[must_use]
    pub fn lenient_number(&self, key: &str) -> Option<f64> {
        self.map.get(key).and_then(Value::as_f64)
    }

    /// A string, which may be empty.
    pub fn string(&self, key: &str) -> Result<&'a str, ObjectError> {
        let value = self.required(key)?;
        value.as_str().ok_or_else(|| self.invalid(key))
    }

    /// A string, or `None` if the key is missing or the value has another type.
    #[must_use]
    pub fn lenient_string(&self, key: &str) -> Option<&'a str> {
        self.map.get(key).and_then(Value::as_str)
    }

    /// A boolean, which must be present.
    pub fn boolean(&self, key: &str) -> Result<bool, ObjectError> {
        let value = self.required(key)?;
        value.as_bool().ok_or_else(|| self.invalid(key))
    }

    /// Whether the value is `true`. Returns `false` if the key is missing or the value has another type.
    #[must_use]
    pub fn is_true(&self, key: &str) -> bool {
        self.map.get(key).and_then(Value::as_bool) == Some(true)
    }

    /// An array of values of any type.
    pub fn array(&self, key: &str) -> Result<&'a [Value], ObjectError> {
        let value = self.required(key)?;
        let array = value.as_array().ok_or_else(|| self.invalid(key))?;
        Ok(array)
    }

    /// An array of strings.
    pub fn strings(&self, key: &str) -> Result<Vec<String>, ObjectError> {
        let mut strings = Vec::new();
        for value in self.array(key)? {
            let string = value.as_str().ok_or_else(|| self.invalid(key))?;
            strings.push(string.to_owned());
        }
        Ok(strings)
    }

    /// A nested object. Errors name the object by `key`.
    pub fn object(&self, key: &'a str) -> Result<Self, ObjectError> {
        let value = self.required(key)?;
        let map = value.as_object().ok_or_else(|| self.invalid(key))?;
        Ok(Self { name: key, map })
    }

    /// Like [`Self::object`], but returns `None` if the key is missing or the value has another type.
    #[must_use]
    pub fn lenient_object(&self, key: &'a str) -> Option<Self> {
        let map = self.map.get(key)?.as_object()?;
        Some(Self { name: key, map })
    }
}
