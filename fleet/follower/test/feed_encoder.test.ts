import type {ConfigDelta, MeshRoute, RouteName} from '@carobseam/config.mesh';
import type {ConfigVersion} from '@carobseam/core.types';
import {
  FeedEncoder,
  type EncodedFeedResponse,
  type FeedResponse,
} from '@carobseam/fleet.follower';
import {expect} from 'chai';
import {gunzipSync} from 'node:zlib';

describe('FeedEncoder', () => {
  for (const acceptsGzip of [false, true]) {
    it(`encodes a response with and without a delta, accepts gzip: ${acceptsGzip}`, () => {
      const encoder = new FeedEncoder();
      for (const configDelta of [undefined, createDelta()]) {
        const response = createResponse(1, configDelta);
        const encoded = encoder.encode(response, acceptsGzip);
        expect(decode(encoded)).to.deep.equal(
          JSON.parse(JSON.stringify(response)),
        );
      }
    });
  }

  it('guards against a compressed response to a relay that does not ask for it', () => {
    const {body, isCompressed} = new FeedEncoder().encode(
      createResponse(1, createDelta()),
      false,
    );
    expect(isCompressed).to.equal(false);
    expect(JSON.parse(body.toString()).sequence).to.equal(1);
  });

  it('guards against encoding a large delta once for each follower', () => {
    let encodings = 0;
    const delta = createDelta();
    const counted = {
      ...delta,
      toJSON: () => {
        encodings++;
        return delta;
      },
    };
    const encoder = new FeedEncoder();
    for (let sequence = 1; sequence <= 20; sequence++) {
      const encoded = encoder.encode(createResponse(sequence, counted), true);
      expect(decode(encoded).sequence).to.equal(sequence);
    }
    expect(encodings).to.equal(1);
  });
});

function decode({body, isCompressed}: EncodedFeedResponse): FeedResponse {
  const json = isCompressed ? gunzipSync(body) : body;
  return JSON.parse(json.toString()) as FeedResponse;
}

function createDelta(): ConfigDelta {
  return {
    from: 1 as ConfigVersion,
    to: 2 as ConfigVersion,
    changedRoutes: [{name: 'r' as RouteName} as MeshRoute],
    removedRoutes: [],
    routeCount: 1,
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 2,
      headerTimeoutMs: 3,
      idleTimeoutMs: 4,
    },
  };
}

function createResponse(
  sequence: number,
  configDelta: ConfigDelta | undefined,
): FeedResponse {
  return {
    sequence,
    revision: 7 as FeedResponse['revision'],
    configDelta,
    lacksVersion: false,
    workers: [],
    isWhole: false,
    isEstablished: true,
    run: 'a',
    isReader: true,
    readers: [],
    contactAgeMs: 0,
  };
}
