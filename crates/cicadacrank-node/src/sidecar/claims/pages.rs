//! Pages of completed claims and their cache.

use crate::platform::{Collection, Fault, Store};
use cicadacrank_core::{
    id,
    once::{Claim, Entry, Name, Page, Shard},
};
use std::{collections::VecDeque, sync::Arc};

/// Maximum number of pages cached for each shard.
const MAX_CACHED_PAGES: usize = 4;

#[derive(Debug)]
struct CachedPage {
    object: String,
    entries: Vec<Entry>,
}

/// Reads, creates and deletes the pages of one shard.
pub(super) struct Pages {
    store: Arc<dyn Store>,
    cache: VecDeque<CachedPage>,
}

impl Pages {
    pub(super) const fn new(store: Arc<dyn Store>) -> Self {
        Self {
            store,
            cache: VecDeque::new(),
        }
    }

    /// Returns the claim with this name in a page, if there is one.
    ///
    /// A page is deleted only after the shard has dropped its reference, so
    /// [`Fault::Missing`] means that the shard has changed.
    async fn find(&mut self, page: &Page, name: Name) -> Result<Option<Claim>, Fault> {
        let index = match self.cache.iter().position(|one| one.object == page.object) {
            Some(index) => index,
            None => self.load(page).await?,
        };
        let entries = &self.cache[index].entries;
        let found = entries.binary_search_by_key(&name, |entry| entry.name);
        Ok(found.ok().map(|index| entries[index].claim.clone()))
    }

    /// Returns the claim with this name in a page of the shard, unless it has expired.
    pub(super) async fn find_in(
        &mut self,
        shard: &Shard,
        name: Name,
        now_unix_ms: u64,
    ) -> Result<Option<Claim>, Fault> {
        for page in shard.pages_for(name) {
            let found = self.find(page, name).await?;
            if let Some(claim) = found.filter(|claim| !claim.is_ended(now_unix_ms)) {
                return Ok(Some(claim));
            }
        }
        Ok(None)
    }

    async fn load(&mut self, page: &Page) -> Result<usize, Fault> {
        let object = self.store.get(Collection::Claims, &page.object).await?;
        let entries = serde_json::from_value(object.spec["entries"].clone())
            .map_err(|error| Fault::Invalid(error.to_string()))?;
        if self.cache.len() == MAX_CACHED_PAGES {
            self.cache.pop_front();
        }
        self.cache.push_back(CachedPage {
            object: page.object.clone(),
            entries,
        });
        Ok(self.cache.len() - 1)
    }

    /// Creates a page of completed claims, which must be sorted by name.
    pub(super) async fn create(&self, shard: &str, entries: &[Entry]) -> Result<Page, Fault> {
        let unique = id::Holder::new(rand::random());
        let page = Page::new(format!("{shard}-{unique}"), entries);
        let spec = serde_json::json!({ "entries": entries });
        let create = self.store.create(Collection::Claims, &page.object, spec);
        create.await?;
        Ok(page)
    }

    /// Deletes pages in the background. A page that cannot be deleted remains.
    pub(super) fn delete(&self, pages: Vec<Page>) {
        if pages.is_empty() {
            return;
        }
        let store = Arc::clone(&self.store);
        tokio::spawn(async move {
            for page in pages {
                let Ok(object) = store.get(Collection::Claims, &page.object).await else {
                    continue;
                };
                let delete = store.delete(Collection::Claims, &page.object, &object.version);
                drop(delete.await);
            }
        });
    }
}
