import type {
  AnnounceReply,
  AnnounceRequest,
  NotifyRequest,
  PeerState,
  PeerStateRequest,
  PullReply,
  PullRequest,
  PushReply,
  PushRequest,
  VmListReply,
  VmListRequest,
} from './link_messages.js';

/** Fleet endpoint of a peer. */
export interface PeerEndpoint {
  readonly address: string;
  readonly fleetPort: number;
}

/** Requests to peers. If one fails, it rejects with the code `LINK_FAILED`. */
export interface PeerLink {
  push(peer: PeerEndpoint, request: PushRequest): Promise<PushReply>;
  pull(peer: PeerEndpoint, request: PullRequest): Promise<PullReply>;
  announce(
    peer: PeerEndpoint,
    request: AnnounceRequest,
  ): Promise<AnnounceReply>;
  sendVmList(peer: PeerEndpoint, request: VmListRequest): Promise<VmListReply>;
  notify(peer: PeerEndpoint, request: NotifyRequest): Promise<void>;
  getState(peer: PeerEndpoint, request: PeerStateRequest): Promise<PeerState>;
}

/** Handlers of the requests that a daemon receives from its peers. */
export interface PeerLinkHandlers {
  push(request: PushRequest): Promise<PushReply>;
  pull(request: PullRequest): Promise<PullReply>;
  announce(request: AnnounceRequest): Promise<AnnounceReply>;
  sendVmList(request: VmListRequest): Promise<VmListReply>;
  notify(request: NotifyRequest): Promise<void>;
  getState(request: PeerStateRequest): Promise<PeerState>;
}
