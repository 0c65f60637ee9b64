//! Decodes the store's answers that contain objects.
//!
//! Other writers may store anything, such as numbers out of range, deep nesting or
//! text that is not UTF-8. Each object is therefore decoded by itself. The content
//! of an object that cannot be read is null, which no decoder accepts.

use super::{Change, Changes, Collection, Fault, Object, Version};
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::{Value, value::RawValue};
use std::{borrow::Cow, iter};

/// Maximum size of a registration, in bytes. Parsed JSON takes up to a hundred times
/// the memory of its text.
const MAX_REGISTRATION_BYTES: usize = 64 << 10;

/// Replaces each byte that is not UTF-8. It is as long as what it replaces, so that
/// positions stay the same.
const REPLACEMENT: char = '?';

/// One page of a list.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Page {
    /// Objects of the page, sorted by name.
    pub(super) objects: Vec<Object>,
    /// Whether another page follows.
    pub(super) has_more: bool,
    /// Revision of the store, not of an object.
    pub(super) revision: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WirePage<'a> {
    #[serde(borrow)]
    items: Vec<&'a RawValue>,
    #[serde(default)]
    has_more: bool,
    /// Revision of the store, not of an object.
    at: u64,
}

#[derive(Deserialize)]
struct WireEvents<'a> {
    #[serde(borrow)]
    events: Vec<WireEvent<'a>>,
    /// Revision of the store, not of an object.
    at: u64,
}

#[derive(Deserialize)]
struct WireEvent<'a> {
    #[serde(borrow)]
    object: &'a RawValue,
    #[serde(default)]
    deleted: bool,
}

#[derive(Deserialize)]
struct WireObject<'a> {
    #[serde(borrow)]
    metadata: WireMetadata<'a>,
    #[serde(borrow)]
    specification: Option<&'a RawValue>,
    #[serde(borrow)]
    status: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct WireMetadata<'a> {
    name: String,
    #[serde(borrow)]
    revision: Option<&'a RawValue>,
    #[serde(borrow)]
    created: Option<&'a RawValue>,
}

/// Decodes one page of a list.
///
/// # Errors
///
/// Returns a fault if the page itself cannot be read, whatever its objects contain.
pub(super) fn decode_page(collection: Collection, era: u64, bytes: &[u8]) -> Result<Page, Fault> {
    let body = Body::new(collection, era, bytes);
    let page: WirePage<'_> = body.parse()?;
    let objects = page.items.iter().filter_map(|raw| body.object(raw));
    Ok(Page {
        objects: objects.collect(),
        has_more: page.has_more,
        revision: page.at,
    })
}

/// Decodes the changes that a watch reports.
///
/// # Errors
///
/// Returns a fault if the answer itself cannot be read, whatever its objects contain.
pub(super) fn decode_changes(
    collection: Collection,
    era: u64,
    bytes: &[u8],
) -> Result<Changes, Fault> {
    let body = Body::new(collection, era, bytes);
    let events: WireEvents<'_> = body.parse()?;
    let change = |event: &WireEvent<'_>| {
        let object = body.object(event.object)?;
        Some(if event.deleted {
            Change::Deleted(object)
        } else {
            Change::Put(object)
        })
    };
    Ok(Changes {
        changes: events.events.iter().filter_map(change).collect(),
        version: Version::new(era, events.at),
    })
}

/// Decodes one object.
///
/// # Errors
///
/// Returns a fault if the object has no readable name.
pub(super) fn decode_object(
    collection: Collection,
    era: u64,
    bytes: &[u8],
) -> Result<Object, Fault> {
    let body = Body::new(collection, era, bytes);
    let raw: &RawValue = body.parse()?;
    let unnamed = || Fault::Lost("the object has no readable name".to_owned());
    body.object(raw).ok_or_else(unnamed)
}

/// Body of an answer.
struct Body<'a> {
    collection: Collection,
    /// Era that the answer names.
    era: u64,
    bytes: &'a [u8],
    /// The same bytes as text, with [`REPLACEMENT`] for what is not UTF-8.
    text: Cow<'a, str>,
}

impl<'a> Body<'a> {
    fn new(collection: Collection, era: u64, bytes: &'a [u8]) -> Self {
        let text = str::from_utf8(bytes).map_or_else(|_| replace_invalid(bytes), Cow::Borrowed);
        Self {
            collection,
            era,
            bytes,
            text,
        }
    }

    fn parse<'b, T: Deserialize<'b>>(&'b self) -> Result<T, Fault> {
        serde_json::from_str(&self.text)
            .map_err(|error| Fault::Lost(format!("invalid JSON: {error}")))
    }

    /// Returns an object of the body, or `None` if it has no readable name.
    fn object(&self, raw: &RawValue) -> Option<Object> {
        let collection = self.collection;
        let wire: WireObject<'_> = serde_json::from_str(raw.get())
            .inspect_err(|error| log::warn!("unreadable object in {collection:?}: {error}"))
            .ok()?;
        let WireMetadata {
            name,
            revision,
            created,
        } = wire.metadata;
        let number = |raw: Option<&RawValue>| -> u64 {
            let parsed = raw.and_then(|raw| serde_json::from_str(raw.get()).ok());
            parsed.unwrap_or_default()
        };
        let (revision, created) = (number(revision), number(created));
        let content = |raw: Option<&RawValue>| {
            let content = raw.map(|raw| self.content(raw));
            content.unwrap_or(Ok(Value::Null)).unwrap_or_else(|error| {
                log::debug!(
                    "unreadable content: collection={collection:?} object={name} \
                     revision={revision} error={error}"
                );
                Value::Null
            })
        };
        Some(Object {
            version: Version::new(self.era, revision),
            created,
            spec: content(wire.specification),
            status: content(wire.status),
            name,
        })
    }

    /// Parses the content of an object.
    ///
    /// # Errors
    ///
    /// Returns a description of what cannot be read.
    fn content(&self, raw: &RawValue) -> Result<Value, String> {
        let length = raw.get().len();
        if let Some(limit) = max_content_bytes(self.collection)
            && length > limit
        {
            return Err(format!("{length} bytes are more than {limit}"));
        }
        let start = raw.get().as_ptr().addr() - self.text.as_ptr().addr();
        parse(&self.bytes[start..start + length])
    }
}

fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    serde_json::from_slice(bytes).map_err(|error| error.to_string())
}

fn replace_invalid(bytes: &[u8]) -> Cow<'_, str> {
    let mut text = String::with_capacity(bytes.len());
    for chunk in bytes.utf8_chunks() {
        text.push_str(chunk.valid());
        text.extend(iter::repeat_n(REPLACEMENT, chunk.invalid().len()));
    }
    Cow::Owned(text)
}

/// Returns the maximum size of the content of an object, in bytes, if it is smaller
/// than what the platform allows.
const fn max_content_bytes(collection: Collection) -> Option<usize> {
    match collection {
        Collection::Endpoints
        | Collection::Evacuations
        | Collection::Gateways
        | Collection::Instances
        | Collection::Releases
        | Collection::Rollouts
        | Collection::Progress => Some(MAX_REGISTRATION_BYTES),
        Collection::Rulesets
        | Collection::Audits
        | Collection::Claims
        | Collection::Accounts
        | Collection::Config => None,
    }
}
