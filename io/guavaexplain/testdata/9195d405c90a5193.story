08:46:03.114 edge-sk-north-a-4 item run cause=status 500 due=17929 events=0 item=9195d405c90a5193 job=ccb62bf40132380d outcome=rejected server=i-b8773f3ec8
    knew since 98ms: configuration in force accounts=8 routes=16 version=41
    knew since 32.951s: server address=10.2.64.25:8325 leaving=false server=i-b8773f3ec8 service=lezi52a
    knew since 51.103s: start domain=sk-north-a front=10.1.0.35:8328
    knew since 2.004s: store regained outage=2345 table=jobs
    knew since 480ms: store regained outage=5475 table=op
    knew since 1.902s: store regained outage=4941 table=servers
    knew since 5.385s: store lost error=follow vms: platform unavailable: call the store: fasthttp: timeout position=210 table=vms
    knew since 1.265s: turned to another coordinator before=edge-sk-north-a-3 held=0 service=bara48b
    knew since 1.249s: turned to another coordinator before=edge-sk-north-a-5 held=14 service=lezi52a
08:46:14.635 edge-sk-north-c-1 item run cause=status 500 due=6408 events=0 item=9195d405c90a5193 job=ccb62bf40132380d outcome=rejected server=i-5777b8b49b
    knew since 7.537s: configuration in force accounts=8 routes=16 version=41
    knew since 7.539s: server address=10.1.64.9:8325 leaving=false server=i-5777b8b49b service=lezi52a
    knew since 7.553s: start domain=sk-north-c front=10.3.0.18:8328
    knew since 6.328s: turned to another coordinator held=0 service=bara48b
    knew since 7.23s: turned to another coordinator held=0 service=lezi52a
08:46:26.077 edge-sk-north-c-1 item run cause=status 500 due=-5033 events=0 item=9195d405c90a5193 job=ccb62bf40132380d outcome=rejected server=i-c1fec1d3cc
    knew since 18.98s: server address=10.1.64.6:8325 leaving=false server=i-c1fec1d3cc service=lezi52a
08:46:26.173 edge-sk-north-c-1 item run cause=status 500 due=-5129 events=0 item=9195d405c90a5193 job=ccb62bf40132380d outcome=rejected server=i-b8773f3ec8
    knew since 19.076s: server address=10.2.64.25:8325 leaving=false server=i-b8773f3ec8 service=lezi52a
08:46:26.173 edge-sk-north-c-1 item given up cause=failed at each try item=9195d405c90a5193 job=ccb62bf40132380d
