//! Values in their form in JSON.

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;

/// One value in its form in JSON.
pub struct JsonCase {
    pub(crate) name: String,
    /// The value, encoded.
    pub text: String,
    /// Decodes a text, which has to give the value, and encodes what was decoded.
    pub(crate) again: Box<dyn Fn(&str) -> String>,
}

/// A case of a value that is compared after it was decoded.
///
/// # Panics
/// The value has no form in JSON; later, when the fixture holds another value.
pub fn json<T: Serialize + DeserializeOwned + PartialEq + Debug + 'static>(name: &str, value: T) -> JsonCase {
    let text = encode(&value);
    let again = move |text: &str| {
        let decoded: T = decode(text);
        assert_eq!(decoded, value);
        encode(&decoded)
    };
    JsonCase { name: name.to_owned(), text, again: Box::new(again) }
}

/// A case of a value that can't be compared: it is decoded and encoded again.
///
/// # Panics
/// The value has no form in JSON.
pub fn json_of_incomparable<T: Serialize + DeserializeOwned>(name: &str, value: &T) -> JsonCase {
    let again = |text: &str| encode(&decode::<T>(text));
    JsonCase { name: name.to_owned(), text: encode(value), again: Box::new(again) }
}

fn encode(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("plain data has a form in JSON")
}

fn decode<T: DeserializeOwned>(text: &str) -> T {
    serde_json::from_str(text).unwrap_or_else(|error| panic!("{text}: {error}"))
}
