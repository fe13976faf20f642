import type {Notice} from '@carobseam/fleet.types';

/** Called once for each notice that a peer sent. */
export type NoticeListener = (notice: Notice) => void;

/** Reports the notices of peers to listeners. */
export interface NoticeSubscription {
  /** Registers a listener; the returned function removes it. */
  subscribe(listener: NoticeListener): () => void;
}
