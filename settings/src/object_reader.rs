//! Reads typed values out of a JSON object, with errors that name the object and the key.

use serde_json::{Map, Value};

/// Why a JSON object can't be used. The file that it stands in is known to the caller only, whose error adds it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ObjectError {
    /// The value is not a JSON object.
    #[error("{object}: not an object")]
    NotAnObject {
        /// What the value should describe.
        object: String,
    },
    /// An element of a list is not a JSON object.
    #[error("{list}: not objects")]
    ElementNotAnObject {
        /// The list.
        list: String,
    },
    /// A key is missing, or its value has the wrong type or none of the permitted values.
    #[error("{object}: field {key} is missing or of the wrong type")]
    InvalidField {
        /// The object that should have the key.
        object: String,
        /// The key.
        key: String,
    },
}

/// Read access to a JSON object. Unknown keys are ignored.
///
/// A key whose value is null counts as absent.
#[derive(Clone, Copy, Debug)]
pub struct ObjectReader<'a> {
    name: &'a str,
    map: &'a Map<String, Value>,
}

impl<'a> ObjectReader<'a> {
    /// A reader of `value`, which errors call `name`.
    pub fn new(name: &'a str, value: &'a Value) -> Result<Self, ObjectError> {
        let map = value.as_object().ok_or_else(|| ObjectError::NotAnObject {
            object: name.to_owned(),
        })?;
        Ok(Self { name, map })
    }

    /// A reader of an element of a list; errors call the list `list`.
    pub fn of_element(list: &'a str, element: &'a Value) -> Result<Self, ObjectError> {
        let map = element
            .as_object()
            .ok_or_else(|| ObjectError::ElementNotAnObject {
                list: list.to_owned(),
            })?;
        Ok(Self { name: list, map })
    }

    /// The object's name.
    #[must_use]
    pub fn name(&self) -> &'a str {
        self.name
    }

    /// The error for a key that is missing or whose value can't be used.
    #[must_use]
    pub fn invalid(&self, key: &str) -> ObjectError {
        ObjectError::InvalidField {
            object: self.name.to_owned(),
            key: key.to_owned(),
        }
    }

    /// Whether the key is there, be it with null.
    #[must_use]
    pub fn contains_key(&self, key: &str) -> bool {
        self.map.contains_key(key)
    }

    /// A value of any type, or `None` where the key is missing or null.
    #[must_use]
    pub fn optional(&self, key: &str) -> Option<&'a Value> {
        self.map.get(key).filter(|value| !value.is_null())
    }

    /// A value of any type but null.
    pub fn required(&self, key: &str) -> Result<&'a Value, ObjectError> {
        self.optional(key).ok_or_else(|| self.invalid(key))
    }

    /// An integer.
    pub fn signed_integer(&self, key: &str) -> Result<i64, ObjectError> {
        let value = self.required(key)?;
        value.as_i64().ok_or_else(|| self.invalid(key))
    }

    /// An integer of at least 0; a negative one is read as 0.
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

    /// As [`Self::unsigned_integer`], or `default` where the key is missing or null.
    pub fn unsigned_integer_or(&self, key: &str, default: u64) -> Result<u64, ObjectError> {
        if self.optional(key).is_none() {
            return Ok(default);
        }
        self.unsigned_integer(key)
    }

    /// A number.
    pub fn number(&self, key: &str) -> Result<f64, ObjectError> {
        let value = self.required(key)?;
        value.as_f64().ok_or_else(|| self.invalid(key))
    }

    /// A number, or `default` where the key is missing or null.
    pub fn number_or(&self, key: &str, default: f64) -> Result<f64, ObjectError> {
        if self.optional(key).is_none() {
            return Ok(default);
        }
        self.number(key)
    }

    /// A number, or `None` for a missing key and for a value of any other type.
    #[must_use]
    pub fn lenient_number(&self, key: &str) -> Option<f64> {
        self.map.get(key).and_then(Value::as_f64)
    }

    /// A string.
    pub fn string(&self, key: &str) -> Result<&'a str, ObjectError> {
        let value = self.required(key)?;
        value.as_str().ok_or_else(|| self.invalid(key))
    }

    /// A string, or `None` for a missing key and for a value of any other type.
    #[must_use]
    pub fn lenient_string(&self, key: &str) -> Option<&'a str> {
        self.map.get(key).and_then(Value::as_str)
    }

    /// A boolean.
    pub fn boolean(&self, key: &str) -> Result<bool, ObjectError> {
        let value = self.required(key)?;
        value.as_bool().ok_or_else(|| self.invalid(key))
    }

    /// Whether the value is `true`; `false` for a missing key and for a value of any other type.
    #[must_use]
    pub fn is_true(&self, key: &str) -> bool {
        self.map.get(key).and_then(Value::as_bool) == Some(true)
    }

    /// A list of values.
    pub fn array(&self, key: &str) -> Result<&'a [Value], ObjectError> {
        let value = self.required(key)?;
        let list = value.as_array().ok_or_else(|| self.invalid(key))?;
        Ok(list)
    }

    /// A list of strings.
    pub fn strings(&self, key: &str) -> Result<Vec<String>, ObjectError> {
        let mut strings = Vec::new();
        for value in self.array(key)? {
            let string = value.as_str().ok_or_else(|| self.invalid(key))?;
            strings.push(string.to_owned());
        }
        Ok(strings)
    }

    /// An object within this one, named by its key.
    pub fn object(&self, key: &'a str) -> Result<Self, ObjectError> {
        let value = self.required(key)?;
        let map = value.as_object().ok_or_else(|| self.invalid(key))?;
        Ok(Self { name: key, map })
    }

    /// As [`Self::object`], or `None` for a missing key and for a value of any other type.
    #[must_use]
    pub fn lenient_object(&self, key: &'a str) -> Option<Self> {
        let map = self.map.get(key)?.as_object()?;
        Some(Self { name: key, map })
    }
}
