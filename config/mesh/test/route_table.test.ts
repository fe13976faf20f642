import {pickService, RouteTable, type RouteName} from '@carobseam/config.mesh';
import {SeededRandom} from '@carobseam/core.clock';
import type {ServiceName} from '@carobseam/core.types';
import {expect} from 'chai';
import {createConfig, createRoute} from './mesh_fixtures.js';

describe('RouteTable', () => {
  const table = new RouteTable(
    createConfig(1, [
      createRoute({name: 'root' as RouteName, pathPrefix: '/'}),
      createRoute({name: 'a' as RouteName, pathPrefix: '/a/'}),
      createRoute({name: 'ab' as RouteName, pathPrefix: '/a/b/'}),
      createRoute({
        name: 'other' as RouteName,
        host: 'other.example',
        pathPrefix: '/x/',
      }),
    ]),
  );
  const cases: Array<[string, string, string | undefined]> = [
    ['hints.example', '/a/b/c', 'ab'],
    ['hints.example', '/a/bc', 'a'],
    ['HINTS.example:8080', '/a/', 'a'],
    ['hints.example', '/a', 'root'],
    ['hints.example', '/a?next=/a/b/', 'root'],
    ['other.example', '/a/b/', undefined],
    ['unknown.example', '/', undefined],
  ];
  for (const [host, url, expected] of cases) {
    it(`finds ${expected ?? 'no route'} for ${host}${url}`, () => {
      expect(table.find(host, url)?.name).to.equal(expected);
    });
  }
});

describe('pickService', () => {
  it('keeps the shares of a traffic split within two percentage points', () => {
    const random = new SeededRandom(7);
    const route = createRoute({
      shares: [
        {service: 'desk' as ServiceName, weight: 90},
        {service: 'next' as ServiceName, weight: 10},
      ],
    });
    const pickedServices = Array.from({length: 5000}, () =>
      pickService(route, random),
    );
    const share = pickedServices.filter(name => name === 'next').length / 5000;
    expect(share).to.be.within(0.08, 0.12);
  });
});
