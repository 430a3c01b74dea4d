//! Tree of a YAML document that holds the line of every value.

use std::fmt;

use compact_str::CompactString;
use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::Spanned;

use super::reader::Problem;

/// A YAML value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Value {
    /// No value.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A whole number that is not negative.
    Number(u64),
    /// Any other scalar.
    Text(CompactString),
    /// A list.
    List(Vec<Item>),
    /// Keys and values in the order of the file.
    Map(Vec<(CompactString, Item)>),
}

impl Value {
    /// Returns the kind of the value as messages name it.
    pub(super) fn kind(&self) -> &'static str {
        match self {
            Value::Null => "nothing",
            Value::Bool(_) => "a truth value",
            Value::Number(_) => "a number",
            Value::Text(_) => "text",
            Value::List(_) => "a list",
            Value::Map(_) => "a section",
        }
    }
}

/// A value with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Item {
    /// Line in the file, counted from 1.
    pub(super) line: u64,
    /// The value.
    pub(super) value: Value,
}

impl Item {
    /// Gets the item under a key, or `None` if this is no section or lacks the key.
    pub(super) fn get(&self, key: &str) -> Option<&Item> {
        let Value::Map(entries) = &self.value else {
            return None;
        };
        entries
            .iter()
            .find(|(name, _)| name == key)
            .map(|(_, item)| item)
    }
}

/// Parses a YAML document, and returns a single problem if it is malformed.
pub(super) fn parse(yaml: &str) -> Result<Item, Vec<Problem>> {
    serde_saphyr::from_str::<Item>(yaml).map_err(|error| {
        let line = error.location().map_or(1, |location| location.line());
        vec![Problem::new(line, "", error.to_string())]
    })
}

impl<'de> Deserialize<'de> for Item {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let spanned = Spanned::<Value>::deserialize(deserializer)?;
        Ok(Item {
            line: spanned.referenced.line(),
            value: spanned.value,
        })
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ValueVisitor)
    }
}

struct ValueVisitor;

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_none<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Number(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        match u64::try_from(value) {
            Ok(number) => Ok(Value::Number(number)),
            Err(_) => Ok(Value::Text(value.to_string().into())),
        }
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(Value::Text(value.to_string().into()))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(Value::Text(value.into()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Value, A::Error> {
        let mut list = Vec::new();
        while let Some(item) = items.next_element::<Item>()? {
            list.push(item);
        }
        Ok(Value::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Value, A::Error> {
        let mut map = Vec::new();
        while let Some(entry) = entries.next_entry::<CompactString, Item>()? {
            map.push(entry);
        }
        Ok(Value::Map(map))
    }
}
