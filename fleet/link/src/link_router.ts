import {initTRPC} from '@trpc/server';
import {
  announceReplySchema,
  announceRequestSchema,
  notifyRequestSchema,
  peerStateRequestSchema,
  peerStateSchema,
  pullReplySchema,
  pullRequestSchema,
  pushReplySchema,
  pushRequestSchema,
  vmListReplySchema,
  vmListRequestSchema,
} from './link_messages.js';
import type {PeerLinkHandlers} from './peer_link.js';

const trpc = initTRPC.create();

/** Creates the tRPC router that passes requests to the handlers. */
export function createLinkRouter(handlers: PeerLinkHandlers) {
  return trpc.router({
    push: trpc.procedure
      .input(pushRequestSchema)
      .output(pushReplySchema)
      .mutation(({input}) => handlers.push(input)),
    pull: trpc.procedure
      .input(pullRequestSchema)
      .output(pullReplySchema)
      .query(({input}) => handlers.pull(input)),
    announce: trpc.procedure
      .input(announceRequestSchema)
      .output(announceReplySchema)
      .mutation(({input}) => handlers.announce(input)),
    sendVmList: trpc.procedure
      .input(vmListRequestSchema)
      .output(vmListReplySchema)
      .mutation(({input}) => handlers.sendVmList(input)),
    notify: trpc.procedure
      .input(notifyRequestSchema)
      .mutation(({input}) => handlers.notify(input)),
    getState: trpc.procedure
      .input(peerStateRequestSchema)
      .output(peerStateSchema)
      .query(({input}) => handlers.getState(input)),
  });
}

/** Type of the router, used by the client. */
export type LinkRouter = ReturnType<typeof createLinkRouter>;
