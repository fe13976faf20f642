import {createHash} from 'node:crypto';

/** Maximum size of a weight cache. VMs are replaced continually, so it would grow without limit. */
const MAX_CACHED_WEIGHTS = 10_000;

/** Cache of the weights of ids for one key, for callers that sort often. */
export type RendezvousWeights = Map<string, string>;

/**
 * Sorts items in rendezvous (highest random weight) order for a key. Every
 * daemon with the same items gets the same order, and removing an item does not
 * change the order of the others.
 *
 * @param weights cache that is read and filled.
 */
export function rendezvousOrder<T>(
  key: string,
  items: Iterable<T>,
  idOf: (item: T) => string,
  weights?: RendezvousWeights,
): T[] {
  return [...items]
    .map(item => {
      const id = idOf(item);
      return {
        item,
        id,
        weight: weights?.get(id) ?? computeWeight(key, id, weights),
      };
    })
    .sort(
      (a, b) =>
        compareStrings(b.weight, a.weight) || compareStrings(a.id, b.id),
    )
    .map(({item}) => item);
}

function computeWeight(
  key: string,
  id: string,
  weights?: RendezvousWeights,
): string {
  const hash = createHash('sha256').update(`${key}\0${id}`);
  const weight = hash.digest('hex');
  if (weights && weights.size >= MAX_CACHED_WEIGHTS) {
    weights.clear();
  }
  weights?.set(id, weight);
  return weight;
}

function compareStrings(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}
