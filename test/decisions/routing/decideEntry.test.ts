import * as test from 'node:test';
import * as earl from 'earl';
import * as decisions from '../../../src/decisions/index.js';
import type * as entry from '../../../src/model/entry/index.js';

function createRoute(
  pathPrefix: string,
  change: Partial<entry.EntryRoute> = {},
): entry.EntryRoute {
  return {
    routeId: pathPrefix,
    host: 'a.example',
    pathPrefix,
    execution: 'idempotent',
    access: 'keyed',
    destination: {kind: 'service', serviceId: 'desk'},
    timeLimitMs: 1000,
    objectiveMs: 500,
    priority: 0,
    maxUpstreams: 2,
    hasObjects: true,
    homeRegions: [],
    ...change,
  };
}

const ORGANISATION: entry.EntryOrganisation = {
  organisationId: 'rustavi',
  keys: ['k1'],
  priority: 1,
  ratePerSecond: 0,
  burstRequests: 0,
  homeRegions: [],
};

function decide(target: string, key: string, nowMs = 0): string {
  const routes = [createRoute('/'), createRoute('/a/'), createRoute('/a/b/')];
  const decision = decisions.decideEntry(
    {
      routes: new decisions.RouteIndex(routes),
      organisationsByKey: new Map([['k1', ORGANISATION]]),
      hasOrganisations: true,
      freshUntilMs: 100,
    },
    {host: 'a.example', target, key},
    nowMs,
  );
  return decision.kind === 'granted' ? decision.route.routeId : decision.error;
}

void test.describe('decideEntry', () => {
  void test.it(
    'chooses the route with the longest prefix and ignores the query',
    () => {
      earl.expect(decide('/a/b/c/d', 'k1')).toEqual('/a/b/');
      earl.expect(decide('/a/bc?x=/a/b/', 'k1')).toEqual('/a/');
      earl.expect(decide('/ab', 'k1')).toEqual('/');
    },
  );

  void test.it(
    'refuses unknown keys as unauthenticated only while the configuration is up to date',
    () => {
      earl.expect(decide('/a/', 'k2', 50)).toEqual('unauthenticated');
      earl.expect(decide('/a/', 'k2', 150)).toEqual('notFresh');
    },
  );

  void test.it(
    'sends all requests for one object to the same service of a split',
    () => {
      const route = createRoute('/', {
        destination: {
          kind: 'split',
          parts: [
            {serviceId: 'a', weight: 90},
            {serviceId: 'b', weight: 10},
          ],
        },
      });
      const choose = (object: string, random: number) =>
        decisions.chooseService(route, object, random);
      earl.expect(choose('7', 0.01)).toEqual(choose('7', 0.99));
      const objects = Array.from({length: 2000}, (_, index) => `o${index}`);
      const matchCount = objects.filter(
        object => choose(object, 0) === 'b',
      ).length;
      earl
        .expect(Math.abs(matchCount / objects.length - 0.1))
        .toBeLessThan(0.02);
      earl.expect(choose('', 0.95)).toEqual('b');
      earl.expect(choose('', 0.85)).toEqual('a');
    },
  );

  void test.it(
    'binds requests to the regions allowed by both the route and the organisation',
    () => {
      const route = createRoute('/', {homeRegions: ['x', 'y']});
      const organisation = {...ORGANISATION, homeRegions: ['y', 'z']};
      earl.expect(decisions.getHomeRegions(route, organisation)).toEqual(['y']);
      earl
        .expect(decisions.getHomeRegions(route, ORGANISATION))
        .toEqual(['x', 'y']);
      earl
        .expect(decisions.getHomeRegions(createRoute('/'), ORGANISATION))
        .toEqual(undefined);
    },
  );
});
