//! Selection among endpoints whose load is known late.
//!
//! Processes that select by the same late knowledge would all send to the endpoint that
//! looks best. Here each assumes that the requests which the others have sent since fill
//! the endpoints evenly from the cheapest on, and divides its own in the same proportion.
//! This is load interpretation (M. Dahlin, "Interpreting Stale Load Information", IEEE TPDS
//! 11(10), 2000). With knowledge that is up to date it selects the cheapest endpoint; the
//! older the knowledge, the closer it comes to taking turns by capacity.

use std::hash::Hasher as _;

/// Difference between times since the last request that is left to chance, in seconds.
const TIE_S: f64 = 1e-3;

/// An endpoint that may be selected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<T> {
    /// Key of the endpoint, returned if it is selected.
    pub key: T,
    /// Expected cost of the request there, by what is known of the load.
    pub cost: f64,
    /// Increase of that cost by each further request.
    pub step: f64,
    /// Time since this process last sent a request there, in seconds.
    pub idle: f64,
    /// Number that differs between endpoints and is the same in each process.
    pub id: u64,
}

/// Selects an endpoint, `others` being the number of requests that other processes have
/// probably sent since the load was known, and `seed` a number that differs between
/// requests. Returns the cheapest if there are no others, or `None` without candidates.
#[must_use]
pub fn draw<T: Copy>(
    candidates: &mut [Candidate<T>],
    others: f64,
    seed: u64,
) -> Option<Candidate<T>> {
    // The sort is stable, so that the first of equal endpoints is the cheapest.
    candidates.sort_by(|a, b| a.cost.total_cmp(&b.cost));
    if others <= 0.0 {
        return candidates.first().copied();
    }
    let (level, filled) = level(candidates, others);
    // An endpoint is selected when its room has grown to that of the others with the time
    // since its last request, and so in proportion to its room, at even intervals.
    let turn = |candidate: &Candidate<T>| {
        let room = (level - candidate.cost) / candidate.step;
        room * (candidate.idle + TIE_S * uniform(seed, candidate.id))
    };
    let open = candidates[..filled].iter();
    open.max_by(|a, b| turn(a).total_cmp(&turn(b))).copied()
}

/// Returns the cost to which `others` requests raise the cheapest of the sorted
/// candidates, and the number of these.
fn level<T>(candidates: &[Candidate<T>], others: f64) -> (f64, usize) {
    let (mut rate, mut filled) = (0.0, 0.0);
    let mut level = f64::NEG_INFINITY;
    for (index, candidate) in candidates.iter().enumerate() {
        if index > 0 && candidate.cost >= level {
            return (level, index);
        }
        rate += candidate.step.recip();
        filled += candidate.cost / candidate.step;
        level = (others + filled) / rate;
    }
    (level, candidates.len())
}

/// Returns a number above 0 and up to 1 that looks random.
fn uniform(seed: u64, id: u64) -> f64 {
    let mut hasher = siphasher::sip::SipHasher13::new_with_keys(seed, id);
    hasher.write_u64(id);
    // The upper 53 bits fill the mantissa.
    ((hasher.finish() >> 11) as f64 + 1.0) / (1_u64 << 53) as f64
}
