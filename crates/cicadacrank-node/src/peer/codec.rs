//! Conversion between the gossip types of the core and wire messages.

use cicadacrank_core::{
    gossip::{Digest, Document, Edit, Payload, Step, Update},
    id,
    membership::{BUCKETS, Buckets, Member, Role, State},
};
use cicadacrank_wire::wire;
use flate2::{Compression, read::GzDecoder, write::GzEncoder};
use std::io::{Read as _, Write as _};

/// Largest size to which a rule file from a peer is decompressed, in bytes.
const MAX_RULES_BYTES: u64 = 4 << 20;

pub(super) fn encode_member(member: &Member) -> wire::Member {
    wire::Member {
        instance: member.name.clone(),
        incarnation: member.incarnation,
        address: member.address.to_string(),
        data_centre: member.data_centre.clone(),
        role: member.role as u32,
        state: member.state as u32,
        endpoints: member.endpoints.clone(),
        operator_address: member.operator_address.to_string(),
    }
}

pub(super) fn decode_member(member: wire::Member) -> Option<Member> {
    Some(Member {
        name: member.instance,
        incarnation: member.incarnation,
        state: match member.state {
            0 => State::Alive,
            1 => State::Leaving,
            2 => State::Suspect,
            3 => State::Dead,
            _ => return None,
        },
        role: match member.role {
            0 => Role::Entry,
            1 => Role::Sidecar,
            _ => return None,
        },
        data_centre: member.data_centre,
        address: member.address.parse().ok()?,
        operator_address: member.operator_address.parse().ok()?,
        endpoints: member.endpoints,
    })
}

/// Decodes members and leaves out invalid ones, such as those with a state or
/// role that a later release added.
fn decode_members(members: Vec<wire::Member>) -> Vec<Member> {
    members.into_iter().filter_map(decode_member).collect()
}

pub(super) fn encode_digest(digest: &Digest) -> wire::Digest {
    wire::Digest {
        me: Some(encode_member(&digest.sender)),
        generation: digest.generation,
        buckets: digest.buckets.to_vec(),
        members: digest.members.iter().map(encode_member).collect(),
        suspects: Vec::new(),
        crash_suspects: Vec::new(),
        era: 0,
    }
}

pub(super) fn decode_digest(digest: wire::Digest) -> Option<Digest> {
    Some(Digest {
        sender: decode_member(digest.me?)?,
        generation: digest.generation,
        buckets: Buckets::try_from(digest.buckets).unwrap_or([0; BUCKETS]),
        members: decode_members(digest.members),
    })
}

pub(super) fn encode_update(update: &Update) -> wire::Update {
    let (steps, rules) = match &update.payload {
        Payload::Empty => (Vec::new(), Vec::new()),
        Payload::Steps(steps) => (steps.iter().map(encode_step).collect(), Vec::new()),
        Payload::Full(document) => (Vec::new(), compress(&document.text)),
    };
    wire::Update {
        generation: update.generation,
        steps,
        rules,
        members: update.members.iter().map(encode_member).collect(),
        suspects: Vec::new(),
        crash_suspects: Vec::new(),
        era: 0,
    }
}

pub(super) fn decode_update(update: wire::Update) -> Update {
    let generation = update.generation;
    let payload = if !update.steps.is_empty() {
        let steps: Option<Vec<Step>> = update.steps.into_iter().map(decode_step).collect();
        steps.map_or(Payload::Empty, Payload::Steps)
    } else if update.rules.is_empty() {
        Payload::Empty
    } else {
        decompress(&update.rules).map_or(Payload::Empty, |text| {
            Payload::Full(Document {
                generation,
                text: text.into(),
            })
        })
    };
    Update {
        generation,
        payload,
        members: decode_members(update.members),
    }
}

fn encode_step(step: &Step) -> wire::Step {
    let edits = step.edits.iter().map(|edit| wire::Edit {
        keep: edit.keep,
        drop: edit.drop,
        insert: edit.insert.clone(),
    });
    wire::Step {
        from: step.from,
        to: step.to,
        digest: step.digest.to_vec(),
        edits: edits.collect(),
    }
}

fn decode_step(step: wire::Step) -> Option<Step> {
    let edits = step.edits.into_iter().map(|edit| Edit {
        keep: edit.keep,
        drop: edit.drop,
        insert: edit.insert,
    });
    Some(Step {
        from: step.from,
        to: step.to,
        digest: <[u8; id::DIGEST_BYTES]>::try_from(step.digest).ok()?,
        edits: edits.collect(),
    })
}

fn compress(text: &str) -> Vec<u8> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    // Writing to memory cannot fail.
    if encoder.write_all(text.as_bytes()).is_err() {
        return Vec::new();
    }
    encoder.finish().unwrap_or_default()
}

fn decompress(bytes: &[u8]) -> Option<String> {
    let mut text = String::new();
    let mut decoder = GzDecoder::new(bytes).take(MAX_RULES_BYTES);
    decoder.read_to_string(&mut text).ok()?;
    Some(text)
}
