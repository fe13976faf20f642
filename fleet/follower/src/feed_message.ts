import type {MeshUpdate} from '@carobseam/config.mesh';

/** What a relay asks a peer for. */
export interface FeedRequest {
  /** Run of the peer that `sequence` belongs to; undefined at first. */
  run?: string;
  sequence?: number;
  /** Configuration that the asking relay has; 0 for none. */
  version: number;
  /** Revision of the source that it has. */
  revision: number;
  /** Whether a whole configuration may come, though the link may be thin. */
  acceptsWhole: boolean;
  /** How long the peer may wait for a change, in ms; 0 for no wait. */
  waitMs: number;
}

/** What a relay gives its peers. */
export interface FeedResponse extends MeshUpdate {
  /** Identifies one run of the answering process. */
  run: string;
  /** Whether it reads the source itself. */
  isReader: boolean;
  /** Control addresses of the readers that it follows. */
  readers: readonly string[];
  /** Time since the source last answered it, in ms. */
  contactAgeMs: number;
}

/** Path under which relays give changes to peers. */
export const FEED_PATH = '/changes';

/** Writes a request as a query. */
export function encodeFeedRequest(request: FeedRequest): URLSearchParams {
  const query = new URLSearchParams();
  for (const [name, value] of Object.entries(request)) {
    if (value !== undefined) {
      query.set(name, String(value));
    }
  }
  return query;
}

/** Reads the query of a request. */
export function decodeFeedRequest(query: URLSearchParams): FeedRequest {
  const numberOf = (name: string) => Number(query.get(name) ?? 0);
  return {
    run: query.get('run') ?? undefined,
    sequence: query.has('sequence') ? numberOf('sequence') : undefined,
    version: numberOf('version'),
    revision: numberOf('revision'),
    acceptsWhole: query.get('acceptsWhole') === 'true',
    waitMs: numberOf('waitMs'),
  };
}

/** Fetches changes from the peer with a control address. */
export type FetchFeed = (
  address: string,
  request: FeedRequest,
) => Promise<FeedResponse>;
