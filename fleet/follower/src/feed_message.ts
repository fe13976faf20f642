import type {MeshUpdate} from '@carobseam/config.mesh';

/** A poll for the changes of a peer's state. */
export interface FeedRequest {
  /** Run of the peer that `sequence` belongs to; undefined in the first poll. */
  run?: string;
  /** Sequence number up to which the requester has the peer's changes. */
  sequence?: number;
  /** Version of the configuration that the requester has; 0 for none. */
  version: number;
  /** Revision of the source that the requester has. */
  revision: number;
  /** Whether the response may contain a full configuration, even over a low-bandwidth link. */
  acceptsWhole: boolean;
  /** How long the peer may hold the poll until a change occurs, in ms; 0 for no wait. */
  waitMs: number;
}

/** The changes that a peer lacks, with the role of the responding relay. */
export interface FeedResponse extends MeshUpdate {
  /** Identifies one run of the responding process; new after each restart. */
  run: string;
  /** Whether the responding relay reads the source itself. */
  isReader: boolean;
  /** Control addresses of the readers that the responding relay follows. */
  readers: readonly string[];
  /** Time since the source last responded to the responding relay, in ms. */
  contactAgeMs: number;
  /** How long the responding relay held the poll, in ms. */
  heldMs?: number;
  /** How long the poll took beyond `heldMs`, in ms; set by the requester. */
  transferMs?: number;
}

/** HTTP path of the change feed that each relay serves to its peers. */
export const FEED_PATH = '/changes';

/** Content coding of large responses; relays that do not ask for it get none. */
export const GZIP = 'gzip';

/** Encodes a request as a query string. */
export function encodeFeedRequest(request: FeedRequest): URLSearchParams {
  const query = new URLSearchParams();
  for (const [name, value] of Object.entries(request)) {
    if (value !== undefined) {
      query.set(name, String(value));
    }
  }
  return query;
}

/** Decodes the query string of a request; missing numbers become 0. */
export function decodeFeedRequest(query: URLSearchParams): FeedRequest {
  const readNumber = (name: string) => Number(query.get(name) ?? 0);
  return {
    run: query.get('run') ?? undefined,
    sequence: query.has('sequence') ? readNumber('sequence') : undefined,
    version: readNumber('version'),
    revision: readNumber('revision'),
    acceptsWhole: query.get('acceptsWhole') === 'true',
    waitMs: readNumber('waitMs'),
  };
}

/**
 * Polls the peer with the given control address for changes.
 *
 * @param onProgress called when a part of the response has arrived.
 */
export type FetchFeed = (
  address: string,
  request: FeedRequest,
  onProgress?: () => void,
) => Promise<FeedResponse>;
