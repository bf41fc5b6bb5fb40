"""OpenTelemetry traces with a span per hop and W3C trace context."""

from types import MappingProxyType
from typing import Final

from opentelemetry import trace
from opentelemetry.context import Context
from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
    OTLPSpanExporter,
)
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SimpleSpanProcessor,
    SpanExporter,
)
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from cassialever.errors import ANSWER_BY_KIND, ErrorKind
from cassialever.settings import Settings
from cassialever.telemetry.spans import (
    TRACEPARENT_HEADER,
    Hop,
    HopSpan,
    NoopSpan,
)

TRACES_PATH: Final = '/v1/traces'

_SPAN_KIND_BY_HOP: Final = MappingProxyType(
    {
        Hop.caller: trace.SpanKind.SERVER,
        Hop.target: trace.SpanKind.CLIENT,
    },
)


class Tracing:
    """Create a span for each hop, if an exporter is configured."""

    def __init__(
        self,
        settings: Settings,
        exporter: SpanExporter | None = None,
    ) -> None:
        """Use `exporter`, or the one of the settings if it is `None`."""
        self._provider = _build_provider(settings, exporter)
        self._tracer: trace.Tracer | None = None
        if self._provider:
            self._tracer = self._provider.get_tracer('cassialever')

    def start_span(
        self,
        hop: Hop,
        traceparent: str,
        request_id: str,
        target_id: str = '',
    ) -> HopSpan:
        """Start the span of a hop as a child of the received context."""
        if self._tracer is None:
            return NoopSpan(traceparent)
        span = self._tracer.start_span(
            hop.value,
            context=_extract_context(traceparent),
            kind=_SPAN_KIND_BY_HOP[hop],
            attributes={'request_id': request_id, 'target': target_id},
        )
        return _Span(span)

    def stop(self) -> None:
        """Flush the spans and stop."""
        if self._provider:
            self._provider.shutdown()


class _Span:
    """A span that is exported."""

    def __init__(self, span: trace.Span) -> None:
        self._span = span
        carrier: dict[str, str] = {}
        context = trace.set_span_in_context(span)
        TraceContextTextMapPropagator().inject(carrier, context)
        self.traceparent = carrier.get(TRACEPARENT_HEADER, '')

    def end(self, failure: ErrorKind | None = None) -> None:
        """End the span, with the error kind if the hop failed."""
        if failure:
            self._span.set_attribute('error.type', failure.value)
            self._span.set_status(
                trace.StatusCode.ERROR,
                ANSWER_BY_KIND[failure].sentence,
            )
        self._span.end()


def _extract_context(traceparent: str) -> Context:
    carrier = {TRACEPARENT_HEADER: traceparent}
    return TraceContextTextMapPropagator().extract(carrier)


def _build_provider(
    settings: Settings,
    exporter: SpanExporter | None,
) -> TracerProvider | None:
    otlp_url = settings.telemetry.otlp_url
    if exporter is None and not otlp_url:
        return None
    provider = TracerProvider(
        resource=build_resource(settings),
        shutdown_on_exit=False,
    )
    if exporter is None:
        otlp = OTLPSpanExporter(endpoint=f'{otlp_url}{TRACES_PATH}')
        provider.add_span_processor(BatchSpanProcessor(otlp))
    else:
        provider.add_span_processor(SimpleSpanProcessor(exporter))
    return provider


def build_resource(settings: Settings) -> Resource:
    """Return the attributes that identify this instance's telemetry."""
    instance = settings.instance
    return Resource(
        {
            'service.name': 'cassialever',
            'service.instance.id': instance.instance_id,
            'data_centre': instance.data_centre,
        },
    )
