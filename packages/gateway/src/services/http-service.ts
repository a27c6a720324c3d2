import {
	createServer,
	type RequestListener,
	type Server,
	type ServerResponse,
} from 'node:http';
import {messageOf, ValidationError} from '@marjoramcove/errors';
import {splitAddress} from '@marjoramcove/ingress';
import {Service} from '@marjoramcove/kernel';
import {chooseEntryAddresses} from '../choose-entry-addresses.ts';
import {describeDeployment} from '../describe-deployment.ts';
import {describeTeams, type TeamsStatus} from '../describe-teams.ts';
import type {DirectoryApi} from '../gateway-adapter.ts';
import type {GatewayContext} from '../gateway-context.ts';

/** Time after which idle connections of operators, the platform or callers are closed. */
const IDLE_TIMEOUT_MS = 10_000;

/** HTTP server for everything other than the requests that callers want forwarded. */
export class HttpService extends Service {
	readonly #name: string;
	readonly #address: string;
	readonly #server: Server;

	/** @param address - host and port. */
	constructor(name: string, address: string, listener: RequestListener) {
		super();
		this.#name = name;
		this.#address = address;
		this.#server = createServer({keepAliveTimeout: IDLE_TIMEOUT_MS}, listener);
	}

	override get name() {
		return this.#name;
	}

	override async start() {
		const {host, port} = splitAddress(this.#address);
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, host, () => {
				this.#server.off('error', reject);
				resolve();
			});
		});
	}

	override async stop() {
		await new Promise<void>((resolve) => {
			this.#server.close(() => {
				resolve();
			});
			this.#server.closeAllConnections();
		});
	}
}

/** Creates the directory, which resolves entry addresses for callers from the view of this daemon. */
export const createDirectory = ({
	view,
	settings,
}: GatewayContext): DirectoryApi => ({
	findAddresses({zone}) {
		const ageMs = performance.now() - view.confirmedAtMs;
		if (ageMs > settings.timing.configurationLeaseMs) {
			return undefined;
		}

		const addresses = chooseEntryAddresses(
			view.membersWithRole('entry'),
			zone,
			Math.random,
		);
		return addresses.length > 0
			? {addresses, ttlMs: settings.timing.addressTtlMs}
			: undefined;
	},
});

/**
 * Teams of the document that this daemon knows; control daemons only decode it when operators ask for them.
 *
 * @throws ValidationError if this daemon does not keep the document.
 */
const readTeams = ({
	view,
	adapter,
	accessGate,
	settings,
}: GatewayContext): TeamsStatus => {
	const {document} = view.topics;
	if (settings.role === 'state') {
		throw new ValidationError(
			'Daemons with the role state do not keep the configuration.',
			'Ask a control or entry daemon.',
		);
	}

	return describeTeams(
		settings.name,
		settings.role === 'control' && document
			? adapter.decodeDocument(document.bytes)
			: accessGate.document,
	);
};

const respondWithJson = (response: ServerResponse, value: unknown): void => {
	response.setHeader('Content-Type', 'application/json');
	response.end(JSON.stringify(value));
};

/** Answers which server a daemon would choose now for a route; 404 if it does not know the route or has none. */
const respondExplanation = (
	{explainRoute}: GatewayContext,
	url: string,
	response: ServerResponse,
): void => {
	const {searchParams} = new URL(url, 'http://daemon');
	const explanation = explainRoute?.(searchParams);
	response.statusCode = explanation ? 200 : 404;
	response.setHeader('Content-Type', 'application/json');
	response.end(
		JSON.stringify(
			explanation ?? {
				error: 'route-unknown',
				message: 'This daemon knows no such route; ask an entry daemon.',
			},
		),
	);
};

/**
 * Serves metrics as text and, as JSON, the deployment status and the teams known to this daemon on `/status` and
 * `/teams`, and the use of quotas on `/quotas`.
 */
export const createMetricsListener =
	(context: GatewayContext): RequestListener =>
	(request, response) => {
		if (request.url === '/status') {
			const status = describeDeployment(context, performance.now());
			respondWithJson(response, status);
			return;
		}

		if (request.url === '/teams') {
			try {
				respondWithJson(response, readTeams(context));
			} catch (error) {
				// This daemon keeps no document, or one from a leader of another version.
				response.statusCode = 500;
				respondWithJson(response, {error: {message: messageOf(error)}});
			}

			return;
		}

		if (request.url === '/quotas') {
			const use = context.describeQuotas?.() ?? {isOwner: false, teams: []};
			respondWithJson(response, use);
			return;
		}

		if (request.url?.startsWith('/explain-route?')) {
			respondExplanation(context, request.url, response);
			return;
		}

		const {metrics, droppedLogLines} = context;
		const dropped = metrics.gauge(
			'marjoramcove_log_lines_dropped',
			'Log lines that were left out since the start because their reader was too slow.',
		);
		for (const [kind, count] of Object.entries(droppedLogLines)) {
			dropped.set(count, {kind});
		}

		response.setHeader('Content-Type', 'text/plain; version=0.0.4');
		response.end(metrics.render());
	};
