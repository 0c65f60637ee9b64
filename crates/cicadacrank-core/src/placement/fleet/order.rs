//! Finds rows by the incarnations of their endpoints.

use super::{Fleet, Key};
use crate::directory::Incarnation;

impl Fleet {
    /// Returns the key of an incarnation, or `None` if the directory does not list it.
    pub(super) fn find(&self, incarnation: &Incarnation) -> Option<Key> {
        let found = self
            .order
            .binary_search_by(|index| self.life(*index).cmp(&Some(incarnation)));
        found.ok().map(|found| self.key(self.order[found]))
    }

    /// Returns the keys of the rows with the id of an endpoint.
    pub(super) fn keys_of(&self, id: &str) -> impl Iterator<Item = Key> {
        let id_at = |index: u32| self.life(index).map(|life| life.id.as_str());
        let first = self.order.partition_point(|index| id_at(*index) < Some(id));
        let same = self.order[first..].iter();
        same.take_while(move |index| id_at(**index) == Some(id))
            .map(|index| self.key(*index))
    }

    fn life(&self, index: u32) -> Option<&Incarnation> {
        let row = self.slots.get(index as usize)?.row.as_ref();
        row.map(|row| &row.endpoint.life)
    }

    fn key(&self, index: u32) -> Key {
        let slot = self.slots.get(index as usize);
        Key {
            index,
            generation: slot.map_or(0, |slot| slot.generation),
        }
    }

    /// Sorts the indices anew, after rows were added or removed.
    pub(super) fn sort(&mut self) {
        let mut order = std::mem::take(&mut self.order);
        order.clear();
        order.extend(self.rows().map(|(key, _)| key.index));
        order.sort_unstable_by(|one, other| self.life(*one).cmp(&self.life(*other)));
        self.order = order;
    }
}
