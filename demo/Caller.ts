import * as crypto from 'node:crypto';
import type * as decisions from '../src/decisions/index.js';
import type * as deployments from '../standins/deployment/Deployment.js';
import * as deploymentPlans from '../standins/deployment/DeploymentPlan.js';

const THINK_TIME_MS = 25;
const FIRST_CLIENT_SUBNET_OCTET = 30;

/** The outcome of a request as its caller sees it. */
export type Outcome =
  | {
      readonly kind: 'served';
      readonly requestId: string;
      readonly elapsedMs: number;
    }
  /** The answer states that no upstream ran the request. */
  | {readonly kind: 'notRun'; readonly requestId: string}
  | {readonly kind: 'failed'; readonly text: string};

/** A caller that requests a steering answer, caches it until it expires, and sends requests to the VM that it names. */
export class Caller {
  private readonly deployment: deployments.Deployment;
  private readonly organisationId: string;
  private readonly address: string;
  private steering: decisions.SteeringAnswer = {choices: [], expiresAtMs: 0};
  private requestCount = 0;

  constructor(
    deployment: deployments.Deployment,
    organisationId: string,
    index: number,
  ) {
    this.deployment = deployment;
    this.organisationId = organisationId;
    this.address = `10.${FIRST_CLIENT_SUBNET_OCTET + (index % 3)}.0.${index}`;
  }

  /** Sends requests one after another until the time `endMs` of performance.now(). */
  async run(endMs: number): Promise<readonly Outcome[]> {
    const outcomes: Outcome[] = [];
    while (performance.now() < endMs) {
      outcomes.push(await this.sendRequest());
      await new Promise(resolve => setTimeout(resolve, THINK_TIME_MS));
    }
    return outcomes;
  }

  private async sendRequest(): Promise<Outcome> {
    this.requestCount += 1;
    const vmId = await this.getVmId();
    const startedAtMs = performance.now();
    const answer = await this.sendToVm(vmId);
    const elapsedMs = performance.now() - startedAtMs;
    const requestId = answer.headers['x-bramleyrun-request-id'];
    if (answer.httpStatus === 200)
      return {kind: 'served', requestId, elapsedMs};
    if (answer.headers['x-bramleyrun-not-run'] === 'true')
      return {kind: 'notRun', requestId};
    return {kind: 'failed', text: answer.text};
  }

  private async sendToVm(vmId: string): Promise<deployments.CallerAnswer> {
    const key = deploymentPlans.getApiKey(this.organisationId);
    const requestNumber = this.requestCount;
    switch (requestNumber % 4) {
      case 0:
        return await this.deployment.request(vmId, `/doors/${requestNumber}`, {
          key,
          method: 'POST',
          body: 'open',
          idempotencyKey: crypto.randomUUID(),
        });
      case 1:
        return await this.deployment.request(
          vmId,
          `/reservations/${requestNumber}`,
          {
            key,
            method: 'POST',
            body: 'reserve',
            idempotencyKey: crypto.randomUUID(),
          },
        );
      default:
        return await this.deployment.request(vmId, `/keys/${requestNumber}`, {
          key,
        });
    }
  }

  private async getVmId(): Promise<string> {
    if (this.steering.expiresAtMs <= Date.now()) await this.fetchSteering();
    return this.steering.choices[0].vmId;
  }

  private async fetchSteering(): Promise<void> {
    const [{plan}] = this.deployment.getVms();
    const {text} = await this.deployment.request(
      plan.vmId,
      `/-/steer?address=${this.address}`,
      {key: deploymentPlans.getApiKey(this.organisationId)},
    );
    this.steering = JSON.parse(text) as decisions.SteeringAnswer;
  }
}
