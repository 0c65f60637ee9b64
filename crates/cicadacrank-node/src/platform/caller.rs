//! Decodes the headers of callers' requests and encodes those for endpoints.

use cicadacrank_core::{batch::MAX_WAITING, placement::Prompt};
use http::{HeaderMap, HeaderName, HeaderValue, header};
use siphasher::sip::SipHasher13;
use std::{hash::Hasher as _, net::SocketAddr, time::Duration};

const ATTEMPT: HeaderName = HeaderName::from_static("x-attempt-id");
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
const TEAM: HeaderName = HeaderName::from_static("x-tenant");
const EXPECTED_ENDPOINT: HeaderName = HeaderName::from_static("x-expected-instance");
const TOKENS: HeaderName = HeaderName::from_static("x-token-usage");
const PROMPT: HeaderName = HeaderName::from_static("x-prompt-prefix");
/// Contains a list, despite its name: the number of pieces of each stage.
const PIECES: HeaderName = HeaderName::from_static("x-segment-count");
const PIECE_KEY: HeaderName = HeaderName::from_static("x-segment-key");
/// Contains a list of result handles, despite its name.
const RESULTS: HeaderName = HeaderName::from_static("x-input-count");
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
/// Contains the id of the caller's attempt that brought the first event of the stream.
const RESUMES: HeaderName = HeaderName::from_static("resumes");
const URGENCY: HeaderName = HeaderName::from_static("x-request-priority");
const FETCH_FROM: HeaderName = HeaderName::from_static("kv-fetch");

/// Maximum number of tokens of a part of a prompt, and of a prompt. It is far above what an
/// endpoint holds, and sums of it don't overflow.
const MAX_TOKENS: u64 = u32::MAX as u64;

/// Headers that are never forwarded: those of a single connection, the caller's
/// credentials, and those that only the system sets.
const NOT_FORWARDED: [HeaderName; 22] = [
    header::AUTHORIZATION,
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    TEAM,
    EXPECTED_ENDPOINT,
    DEADLINE,
    RESULTS,
    URGENCY,
    HeaderName::from_static("x-cache-retention"),
    HeaderName::from_static("x-pin-ms"),
    HeaderName::from_static("x-kv-backup"),
    HeaderName::from_static("kv-from"),
    FETCH_FROM,
];

/// Decoded headers of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Id of the caller's attempt, unchanged.
    pub attempt: Option<HeaderValue>,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
    /// API key of the caller.
    pub key: Option<String>,
    /// Size and shared parts of the prompt.
    pub prompt: Prompt,
    /// Ids of the parts of the prompt that other requests may share, in order.
    pub shared_parts: Vec<String>,
    /// Number of pieces of each stage, or `None` if one is no number or exceeds what a
    /// service queues.
    pub pieces: Option<Vec<u32>>,
    /// Key from which the pieces of the first stages are made.
    pub piece_key: String,
    /// Id of the last event that the caller has, if it takes a stream up again.
    pub last_event: Option<String>,
    /// Id of the caller's attempt that brought the first event of that stream.
    pub resumes: Option<String>,
}

/// Headers that the system adds to a request for an endpoint.
#[derive(Clone, Debug, Default)]
pub struct Additions<'a> {
    /// Id of the intended endpoint.
    pub endpoint: &'a str,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Team to which the caller's key belongs.
    pub team: Option<&'a str>,
    /// Handles of the results of the last stages.
    pub results: &'a [String],
    /// Id of the last event that the caller has received, if a stream is resumed.
    pub last_event: Option<&'a str>,
    /// Priority, where 0 is the most urgent; `None` leaves the header out.
    pub urgency: Option<u32>,
    /// Engine from which the endpoint first fetches the parts of the prompt that it
    /// does not cache itself.
    pub fetch_from: Option<SocketAddr>,
}

impl Caller {
    /// Decodes the headers of a request. Values that cannot be parsed are treated
    /// as missing, but for the numbers of pieces.
    #[must_use]
    pub fn decode(headers: &HeaderMap) -> Self {
        let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
        let timeout = text(&DEADLINE)
            .and_then(|value| value.trim().parse::<f64>().ok())
            .and_then(|value| Duration::try_from_secs_f64(value / 1_000.0).ok());
        let key = text(&header::AUTHORIZATION)
            .and_then(|value| value.strip_prefix("Bearer "))
            .map(|key| key.trim().to_owned());
        Self {
            attempt: headers.get(&ATTEMPT).cloned(),
            timeout,
            key,
            prompt: parse_prompt(text(&TOKENS), text(&PROMPT)),
            shared_parts: parse_shared_parts(text(&PROMPT)),
            pieces: parse_pieces(headers.get(&PIECES)),
            piece_key: text(&PIECE_KEY).unwrap_or_default().to_owned(),
            last_event: text(&LAST_EVENT).map(str::to_owned),
            resumes: text(&RESUMES).map(str::to_owned),
        }
    }

    /// Returns the id of the attempt as text for logs, or `-` if there is none.
    #[must_use]
    pub fn attempt_text(&self) -> &str {
        self.attempt
            .as_ref()
            .and_then(|value| value.to_str().ok())
            .unwrap_or("-")
    }
}

/// Returns the headers of the request to an endpoint: the forwarded headers of the
/// caller and the additions.
#[must_use]
pub fn encode(headers: &HeaderMap, additions: &Additions<'_>) -> HeaderMap {
    let mut encoded = forwarded(headers);
    let mut set = |name: HeaderName, value: &str| match HeaderValue::from_str(value) {
        Ok(value) => drop(encoded.insert(name, value)),
        Err(error) => log::error!("failed to encode header {name}: {error}"),
    };
    set(EXPECTED_ENDPOINT, additions.endpoint);
    set(DEADLINE, &additions.remaining.as_millis().to_string());
    if let Some(team) = additions.team {
        set(TEAM, team);
    }
    if !additions.results.is_empty() {
        set(RESULTS, &additions.results.join(","));
    }
    if let Some(event) = additions.last_event {
        set(LAST_EVENT, event);
    }
    if let Some(urgency) = additions.urgency {
        set(URGENCY, &urgency.to_string());
    }
    if let Some(address) = additions.fetch_from {
        set(FETCH_FROM, &address.to_string());
    }
    encoded
}

/// Returns the headers that may be forwarded. Headers that `Connection` names are
/// left out too.
#[must_use]
pub fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let connection_headers: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut forwarded = HeaderMap::with_capacity(headers.len() + 4);
    for (name, value) in headers {
        let dropped = NOT_FORWARDED.contains(name)
            || connection_headers
                .iter()
                .any(|header| header == name.as_str());
        if !dropped {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

fn parse_pieces(value: Option<&HeaderValue>) -> Option<Vec<u32>> {
    let Some(value) = value else {
        return Some(Vec::new());
    };
    let counts = value.to_str().ok()?.split(',').map(str::trim);
    let counts = counts.filter(|count| !count.is_empty());
    let parse = |count: &str| {
        let count: u32 = count.parse().ok()?;
        (count as usize <= MAX_WAITING).then_some(count)
    };
    counts.map(parse).collect()
}

fn parse_prompt(tokens: Option<&str>, parts: Option<&str>) -> Prompt {
    let stated = tokens
        .and_then(|text| text.split(',').next())
        .and_then(|count| count.trim().parse::<u64>().ok());
    let mut sizes = Vec::new();
    let mut hasher = SipHasher13::new_with_keys(0, 0);
    let mut shared = None;
    for part in parts.unwrap_or_default().split(',') {
        let Some((id, size)) = part.trim().split_once(':') else {
            continue;
        };
        // The last part is not shared with other requests.
        if !sizes.is_empty() {
            shared = Some(hasher.finish());
        }
        hasher.write(id.as_bytes());
        let size = size.parse::<u64>().unwrap_or_default();
        sizes.push(size.min(MAX_TOKENS));
    }
    let all: u64 = sizes.iter().sum();
    let last = sizes.last().copied().unwrap_or_default();
    Prompt {
        tokens: stated.unwrap_or(all).min(MAX_TOKENS),
        shared_tokens: all - last,
        shared,
    }
}

/// Returns the ids of all parts but the last, which belongs to the request alone.
fn parse_shared_parts(parts: Option<&str>) -> Vec<String> {
    let ids = parts.unwrap_or_default().split(',');
    let ids = ids.filter_map(|part| part.trim().split_once(':'));
    let mut ids: Vec<String> = ids.map(|(id, _)| id.to_owned()).collect();
    ids.pop();
    ids
}
